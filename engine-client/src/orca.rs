//! Load reports of model servers in the `endpoint-load-metrics` header (ORCA), in its TEXT and JSON forms.

/// A load report. Metrics that the report does not contain are `None`. Unknown metrics are skipped.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// `kv_cache_usage_perc`: the used share of the KV cache memory, from 0 to 1.
    pub memory_share: Option<f64>,
    /// `queued_prompt_tokens`: the number of prompt tokens that wait for prefill. This metric is an addition to the
    /// published format, in which engines report only numbers of requests.
    pub queued_prompt_tokens: Option<f64>,
    /// `process_start_time_seconds`: the start time of the server process, in seconds since the Unix epoch.
    pub process_start_time_seconds: Option<f64>,
}

/// Parses the value of the header. Malformed metrics are treated as absent.
pub fn parse(header: &str) -> Load {
    let mut load = Load::default();
    let text = header.trim();
    if let Some(json) = text.strip_prefix("JSON").map(str::trim) {
        let value: serde_json::Value = serde_json::from_str(json).unwrap_or_default();
        let named = value.get("named_metrics").and_then(serde_json::Value::as_object);
        for (name, value) in named.into_iter().flatten() {
            load.set(name, value.as_f64());
        }
    } else if let Some(pairs) = text.strip_prefix("TEXT") {
        for (name, value) in pairs.split(',').filter_map(|pair| pair.split_once('=')) {
            let name = name.trim();
            load.set(name.strip_prefix("named_metrics.").unwrap_or(name), value.trim().parse().ok());
        }
    }
    load
}

impl Load {
    fn set(&mut self, name: &str, value: Option<f64>) {
        let value = value.filter(|value| value.is_finite() && *value >= 0.0);
        match name {
            "kv_cache_usage_perc" => self.memory_share = value,
            "queued_prompt_tokens" => self.queued_prompt_tokens = value,
            "process_start_time_seconds" => self.process_start_time_seconds = value,
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
