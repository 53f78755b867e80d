use super::*;
use petrelshore_chat_gateway::Rejection;

#[test]
fn only_what_provably_did_not_run_may_be_sent_again() {
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
    for unanswered in all.chain([Rejection::DeadlineTooShort.into(), Rejection::KeyReused.into()]) {
        let status = of_unanswered(&unanswered);
        let harmless = matches!(unanswered.retry, Retry::After(_));
        let retried = matches!(status.code(), Code::Unavailable | Code::ResourceExhausted | Code::Aborted);
        let pushback = status.metadata().get(PUSHBACK).and_then(|value| value.to_str().ok()).unwrap();
        assert_eq!(
            (retried, status.get_details_retry_info().is_some()),
            (harmless, harmless),
            "{unanswered:?}"
        );
        assert_eq!(pushback, if harmless { "6" } else { "-1" }, "{unanswered:?}");
    }
}
