//! The path of a request through all processes: streamed and unstreamed chat, a refused key and a
//! payment.

use crate::util::{
    block_on,
    fleet::{Fleet, FleetSpec, KITES_KEY},
    http::{call, chat, expected_text, streamed_text},
};
use http::Method;

/// Every kind of request must be served by every process on its way; a wrong key must be refused
/// before the request runs.
#[test]
fn path_chat_payment_and_wrong_key() {
    block_on(async {
        let fleet = Fleet::start("path", FleetSpec::default()).await;
        for index in 0..2 {
            let response =
                chat(fleet.caller_address(index), KITES_KEY, "glue", 12, true).await.unwrap();
            assert_eq!(response.status, 200, "response: {}", response.text());
            assert_eq!(streamed_text(&response), (expected_text(12), true));
            let unstreamed =
                chat(fleet.caller_address(index), KITES_KEY, "spar", 5, false).await.unwrap();
            let text = unstreamed.json()["choices"][0]["message"]["content"].clone();
            assert_eq!(text, expected_text(5));
        }
        let refused = chat(fleet.caller_address(0), "wrong", "glue", 4, true).await.unwrap();
        assert_eq!((refused.status, refused.code()), (401, 1002));
        assert!(refused.is_not_run());
        let headers = [("x-api-key", KITES_KEY), ("idempotency-key", "restock-7")];
        let payment = call(
            Method::POST,
            fleet.caller_address(0),
            "/services/ledger/payments",
            &headers,
            "{}",
        )
        .await;
        assert_eq!(payment.unwrap().status, 200);
        let runs = fleet.fetch_json(fleet.endpoint_address("ledger-0"), "/standin/runs").await;
        assert_eq!(runs["restock-7"], 1);
    });
}
