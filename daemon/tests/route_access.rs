//! Requests without a matching route, or without a valid key on a route that requires one, are
//! refused and not run.

use {
    monsoon_lib::{
        call::Reason,
        table::{Access, Class},
    },
    monsoon_testutils::{
        audit::Audit,
        client::{Request, Verdict},
        fleet::{self, Fleet, Route},
    },
};

#[actix_web::test]
async fn keys_and_routes() {
    let mut description = fleet::small(1);
    let open = Route::lookup("open", "/open", Class::Notice, 0);
    description.pools[1].routes.push(Route { access: Access::Open, ..open });
    let fleet = Fleet::start(description).await.expect("the fleet starts");
    let key = fleet.key("rayong");
    let audit = Audit::default();
    for address in fleet.all_callers() {
        let port = address.port();
        let open = Request::get(&format!("/open/{port}"));
        assert_eq!(audit.send(open, address).await, Verdict::Correct);
        let refusals = [
            (Request::get(&format!("/slots/{port}")), Reason::Key),
            (Request::get(&format!("/slots/{port}")).key("unknown"), Reason::Key),
            (Request::get(&format!("/nowhere/{port}")).key(&key), Reason::NoRoute),
            (Request::post(&format!("/slots/{port}"), "").key(&key), Reason::NoRoute),
        ];
        for (request, reason) in refusals {
            let verdict = audit.send(request, address).await;
            assert_eq!(verdict.reason(), Some(reason));
            assert!(verdict.is_not_run());
        }
    }
    assert_eq!(audit.check(&fleet), []);
}
