use granitelb_coordination::PlannerId;
use granitelb_coordination::message::ComponentKind;

use crate::storage::{self, StorageWriter};

#[tokio::test]
async fn removed_store_is_recreated_with_all_snapshots() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let state_folder = folder.path().join("state");
    let opened = storage::open(&state_folder, PlannerId(1)).expect("the store opens");
    let reopened_folder = state_folder.clone();
    let reopen = move || storage::open(&reopened_folder, PlannerId(1)).map(|opened| opened.state_file);
    let (writer, thread) =
        StorageWriter::start_at(Some(opened.path), opened.state_file, reopen).expect("the thread starts");
    writer.persist(ComponentKind::Membership, vec![1]).await.expect("the snapshot is stored");
    writer.persist(ComponentKind::ShardGrowth, vec![2]).await.expect("the snapshot is stored");
    std::fs::remove_dir_all(&state_folder).expect("the folder exists");
    // A file at the folder's path prevents the folder from being created again.
    std::fs::write(&state_folder, "no folder").expect("the file is written");
    for _ in 0..2 {
        let stored = writer.persist(ComponentKind::ShardGrowth, vec![3]).await;
        assert!(stored.is_err(), "a removed file is not durable");
    }
    assert_eq!(
        writer.read(ComponentKind::ShardGrowth).await.expect("the snapshot is known"),
        Some(vec![2]),
        "the last snapshot that was stored"
    );
    std::fs::remove_file(&state_folder).expect("the file exists");
    writer.persist(ComponentKind::ShardGrowth, vec![3]).await.expect("the snapshot is stored again");
    drop(writer);
    thread.join().expect("the thread ends");
    let state_file = storage::open(&state_folder, PlannerId(1)).expect("the store opens").state_file;
    let read = |kind| state_file.read(kind).expect("the store is intact");
    assert_eq!(
        (read(ComponentKind::Membership), read(ComponentKind::ShardGrowth)),
        (Some(vec![1]), Some(vec![3]))
    );
}
