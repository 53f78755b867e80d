use super::*;
use petrelshore_chat_gateway::Rejection;

#[test]
fn only_calls_that_provably_did_not_run_may_be_retried() {
    use FailureReason::*;
    let reasons = [
        AtCapacity,
        AttemptsExhausted,
        DeadlineExceeded,
        StreamBroken,
        ClientStalled,
        ShuttingDown,
        AnswerTooLarge,
        AlreadyRan,
    ];
    let all = reasons.iter().flat_map(|reason| {
        [
            ErrorResponse { cause: ErrorCause::Rejected(*reason), retry: Retry::After(5_000_001) },
            ErrorResponse { cause: ErrorCause::Aborted(*reason), retry: Retry::Never },
        ]
    });
    for response in all.chain([Rejection::DeadlineTooShort.into(), Rejection::KeyReused.into()]) {
        let status = from_error_response(&response);
        let retry_allowed = matches!(response.retry, Retry::After(_));
        let retried = matches!(status.code(), Code::Unavailable | Code::ResourceExhausted | Code::Aborted);
        let pushback = status.metadata().get(RETRY_PUSHBACK).and_then(|value| value.to_str().ok()).unwrap();
        assert_eq!(
            (retried, status.get_details_retry_info().is_some()),
            (retry_allowed, retry_allowed),
            "{response:?}"
        );
        assert_eq!(pushback, if retry_allowed { "6" } else { "-1" }, "{response:?}");
    }
}
