use super::serve;

/// A batch without events.
const EMPTY_BATCH: [u8; 16] = [0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x80, 0x5c, 0x5a];
/// The reply without actions.
const EMPTY_REPLY: [u8; 8] = [0, 0, 0, 4, 0, 0, 0, 0];

/// A batch of one event record with this code and fields, and with this tail.
fn batch_of_one(code: u16, fields: &[u8], tail: &[u8]) -> Vec<u8> {
    let mut record = code.to_be_bytes().to_vec();
    record.extend(fields);
    record.resize(48, 0);
    let length = (12 + 48 + tail.len()) as u32;
    [&length.to_be_bytes(), &1u32.to_be_bytes(), &7u64.to_be_bytes()[..], &record, tail].concat()
}

/// The output for this input, or the text of the error that ends the adapter.
fn reply_to(input: &[u8]) -> Result<Vec<u8>, String> {
    let mut output = Vec::new();
    serve(&mut &input[..], &mut output).map(|()| output).map_err(|e| e.to_string())
}

#[test]
fn empty_batches_and_events_for_unknown_nodes_get_empty_replies() {
    let unknown_node = batch_of_one(11, &[0, 3], &[]);
    assert_eq!(
        reply_to(&[&EMPTY_BATCH[..], &unknown_node, &EMPTY_BATCH].concat()),
        Ok(EMPTY_REPLY.repeat(3))
    );
    assert_eq!(reply_to(&[]), Ok(Vec::new()));
}

#[test]
fn malformed_input_fails_with_a_one_line_error() {
    let outside = batch_of_one(7, &[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9], &[]);
    let settings = batch_of_one(10, &[0, 3, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2], b"{]");
    for (input, word) in [
        (&EMPTY_BATCH[..9], "ends"),
        (&EMPTY_BATCH[..2], "ends"),
        (&[0, 0, 0, 3, 1, 2, 3], "header"),
        (&[&[0, 0, 0, 12, 0, 0, 0, 1][..], &[0; 8]].concat(), "records"),
        (&outside, "tail"),
        (&settings, "settings"),
    ] {
        let error = reply_to(input).expect_err(word);
        assert!(error.contains(word) && !error.contains('\n'), "{error}");
    }
}

/// Guards against a panic on malformed input: each byte of small frames is corrupted in turn, and each frame
/// is truncated at each length.
#[test]
fn corrupted_frames_never_panic() {
    let frames = (0..=14).map(|code| batch_of_one(code, &[1; 40], &[2; 60]));
    for mut frame in frames.chain([EMPTY_BATCH.to_vec()]) {
        for position in 4..frame.len() {
            for flipped_bits in [1u8, 0x80, 0xff] {
                frame[position] ^= flipped_bits;
                let _ = reply_to(&frame);
                frame[position] ^= flipped_bits;
            }
            let _ = reply_to(&frame[..position]);
        }
    }
}
