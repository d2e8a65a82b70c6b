//! The whole path between separate processes.

use crate::util::{
    block_on,
    fleet::{Fleet, KITES_KEY, Plan},
    http::{call, chat, expected_text, streamed_text},
};
use http::Method;

#[test]
fn path_chat_payment_and_wrong_key() {
    block_on(async {
        let fleet = Fleet::start("path", Plan::default()).await;
        for index in 0..2 {
            let answer = chat(fleet.caller(index), KITES_KEY, "glue", 12, true).await.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
            assert_eq!(streamed_text(&answer), (expected_text(12), true));
            let whole = chat(fleet.caller(index), KITES_KEY, "spar", 5, false).await.unwrap();
            let text = whole.json()["choices"][0]["message"]["content"].clone();
            assert_eq!(text, expected_text(5));
        }
        let refused = chat(fleet.caller(0), "wrong", "glue", 4, true).await.unwrap();
        assert_eq!((refused.status, refused.code()), (401, 1002));
        assert!(refused.is_not_run());
        let headers = [("x-api-key", KITES_KEY), ("idempotency-key", "restock-7")];
        let paid =
            call(Method::POST, fleet.caller(0), "/services/ledger/payments", &headers, "{}").await;
        assert_eq!(paid.unwrap().status, 200);
        let runs = fleet.read(fleet.endpoint("ledger-0"), "/standin/runs").await;
        assert_eq!(runs["restock-7"], 1);
    });
}
