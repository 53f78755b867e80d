use super::*;

#[test]
fn both_forms_are_parsed_and_malformed_metrics_skipped() {
    let expected = Load {
        memory_share: Some(0.25),
        queued_prompt_tokens: Some(12.0),
        process_start_time_seconds: Some(7.5),
    };
    assert_eq!(
        parse(
            "TEXT named_metrics.kv_cache_usage_perc=0.25, named_metrics.queued_prompt_tokens=12, \
             named_metrics.process_start_time_seconds=7.5, named_metrics.other=1"
        ),
        expected
    );
    let json = r#"JSON {"named_metrics":{"kv_cache_usage_perc":0.25,"queued_prompt_tokens":12,
        "process_start_time_seconds":7.5,"more":"x"},"cpu_utilization":0.3}"#;
    assert_eq!(parse(json), expected);
    for bad in ["", "TEXT", "JSON", "JSON [1", "TEXT kv_cache_usage_perc=much", "BIN x", "TEXT a=b=c"] {
        assert_eq!(parse(bad), Load::default(), "{bad}");
    }
    assert_eq!(parse("TEXT kv_cache_usage_perc=NaN"), Load::default());
    assert_eq!(parse("TEXT kv_cache_usage_perc=-1"), Load::default());
}
