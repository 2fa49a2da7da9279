//! Decodes and validates settings in their JSON form.

use granitelb_balancer::ids::KindId;
use granitelb_balancer::settings::{DedupScope, Effect, RequestClass, Settings};
use granitelb_balancer::time::Span;
use serde::Deserialize;

use crate::error::SettingsError;
use crate::load_report::LoadColumn;
use crate::params::{Params, RequestClassParams, Specifics};
use crate::{DecodedSettings, Names};

/// The key of an error about a text that is not JSON.
const WHOLE_TEXT: &str = "the whole text";

/// Parses a JSON text that contains one value and nothing after it.
///
/// # Errors
///
/// Returns an error with the key whose value `T` does not accept, or an error about the whole text if it is
/// not JSON.
pub fn parse_json<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, SettingsError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let cause = error.inner();
        match path.as_str() {
            "." if cause.is_syntax() || cause.is_eof() => not_json(cause),
            "." => SettingsError::new("", cause.to_string()),
            path => SettingsError::new(path, cause.to_string()),
        }
    })?;
    json.end().map_err(|error| not_json(&error))?;
    Ok(value)
}

fn not_json(error: &serde_json::Error) -> SettingsError {
    SettingsError::new(WHOLE_TEXT, format!("not valid JSON: {error}"))
}

/// Decodes and validates settings in their JSON form.
///
/// # Errors
///
/// Returns an error with the key that is missing, has a value of the wrong type, or has an unsupported value.
pub fn decode(text: &[u8]) -> Result<DecodedSettings, SettingsError> {
    let params: Params = parse_json(text)?;
    check_ranges(&params)?;
    let origin = origin_kind(&params.specifics)?;
    if params.weight_kind == "live" {
        let reason = "\"live\" (sizes that follow the load) is not supported; set fixed sizes, \
                      and have the endpoints send load reports";
        return Err(SettingsError::new("WeightKind", reason));
    }
    Ok(DecodedSettings {
        balancer_settings: balancer_settings(&params, origin),
        client_timeouts: params.request_classes.iter().map(|class| Span(class.client_timeout_us)).collect(),
        connect_timeout: Span(params.bounds.connect_timeout_us),
        keepalive: Span(params.bounds.keepalive_us),
        load_columns: params.load_info.columns.iter().map(|name| LoadColumn::from_name(name)).collect(),
        names: Names {
            request_classes: params.request_classes.into_iter().map(|class| class.name).collect(),
            zones: params.zones,
            kinds: params.shapes,
        },
    })
}

fn balancer_settings(params: &Params, origin: Option<KindId>) -> Settings {
    let bounds = &params.bounds;
    let rules = &params.rules;
    Settings {
        origin,
        request_classes: params.request_classes.iter().map(request_class).collect(),
        nodes: f64::from(params.nodes.max(1)),
        list_on_request: params.discovery == "ask",
        max_poll_interval: Span(rules.max_poll_interval_us),
        only_draining_excludes: rules.only_draining_binds,
        initial_capacity_share: rules.cold_from,
        warmup_duration: Span(rules.warm_after_us),
        overload_multiple: rules.fall_multiple,
        overload_window: Span(rules.fall_us),
        max_attempts: bounds.max_attempts,
        hedged_requests: bounds.hedged_requests,
        may_cancel: bounds.may_cancel,
        max_retry_after: if bounds.retry_after { Span(bounds.max_retry_after_us) } else { Span::ZERO },
        is_value_per_work: params.billed_value_per == "work",
        sizes_are_capacities: matches!(params.weight_kind.as_str(), "nominal" | "rough"),
    }
}

/// The endpoint kind of the origin; `None` in the mode "through", in which caches fetch from the origin
/// themselves.
fn origin_kind(specifics: &Specifics) -> Result<Option<KindId>, SettingsError> {
    match specifics.mode.as_str() {
        "through" => Ok(None),
        "aside" => match u16::try_from(specifics.origin_kind) {
            Ok(kind) => Ok(Some(KindId(kind))),
            Err(_) => {
                let reason = format!(
                    "{} is not a position in Shapes; set the position of the origin's kind, counted from 0",
                    specifics.origin_kind
                );
                Err(SettingsError::new("Specifics.OriginKind", reason))
            }
        },
        other => {
            let reason = format!("{other:?} is not a mode; set \"aside\" or \"through\"");
            Err(SettingsError::new("Specifics.Mode", reason))
        }
    }
}

fn request_class(params: &RequestClassParams) -> RequestClass {
    let scope = match params.dedup_scope.as_str() {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        _ => DedupScope::Cell,
    };
    RequestClass {
        slo: Span(params.latency_slo_us),
        billed_value: params.billed_value,
        value_after_slo: params.value_after_slo,
        is_offered: true,
        effect: match params.effect.as_str() {
            "read_like" => Effect::Idempotent,
            "idempotency_key" => Effect::Deduplicated { scope, window: Span(params.window_us) },
            // An unknown effect counts as non-idempotent, since a second execution may do harm.
            _ => Effect::NonIdempotent,
        },
    }
}

/// Checks that shares are from 0 to 1, and that values and multiples are 0 or more.
fn check_ranges(params: &Params) -> Result<(), SettingsError> {
    check_share("Rules.ColdFrom", params.rules.cold_from)?;
    check_not_negative("Rules.FallMultiple", params.rules.fall_multiple)?;
    for (index, class) in params.request_classes.iter().enumerate() {
        check_share(&format!("Products[{index}].TardyBilledValue"), class.value_after_slo)?;
        check_not_negative(&format!("Products[{index}].BilledValue"), class.billed_value)?;
    }
    Ok(())
}

fn check_share(key: &str, value: f64) -> Result<(), SettingsError> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(SettingsError::new(key, format!("{value} is out of range; set a number from 0 to 1")))
}

fn check_not_negative(key: &str, value: f64) -> Result<(), SettingsError> {
    if (0.0..=f64::MAX).contains(&value) {
        return Ok(());
    }
    Err(SettingsError::new(key, format!("{value} is out of range; set a number of 0 or more")))
}
