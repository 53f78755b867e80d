//! Load as model servers tell it in the `endpoint-load-metrics` header (ORCA), in its TEXT and JSON forms.

/// What a server told of itself. Names it does not tell stay empty; names not known here are skipped.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// `kv_cache_usage_perc`: share of its memory held, from 0 to 1.
    pub memory_share: Option<f64>,
    /// `queued_prompt_tokens`: prompt tokens that wait to be read. Added here: engines publish requests only.
    pub queued_prompt_tokens: Option<f64>,
    /// `process_start_time_seconds`: when its process started, in seconds of the Unix epoch.
    pub started_seconds: Option<f64>,
}

/// Reads a header's value; what is malformed counts as not told.
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
            "process_start_time_seconds" => self.started_seconds = value,
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
