//! The listener for operators on the VM itself: state dump, health and explanations.

use {
    crate::machine::{Dump, Explain, Machine},
    actix::Addr,
    actix_web::{App, HttpResponse, HttpServer, dev::Server, web},
    monsoon_lib::id,
    serde::Deserialize,
    std::{
        io,
        net::{SocketAddr, TcpListener},
    },
};

#[derive(Deserialize)]
struct Question {
    method: String,
    path: String,
    account: Option<id::Account>,
}

/// Starts the listener. The returned address is the bound one.
///
/// # Errors
///
/// Fails where the address can't be bound.
pub fn start(machine: Addr<Machine>, address: SocketAddr) -> io::Result<(Server, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(machine.clone()))
            .route("/dump", web::get().to(dump))
            .route("/explain", web::get().to(explain))
            .route("/health", web::get().to(HttpResponse::Ok))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(0)
    .listen(listener)?
    .run();
    Ok((server, bound))
}

async fn dump(machine: web::Data<Addr<Machine>>) -> HttpResponse {
    match machine.send(Dump).await {
        Ok(dump) => HttpResponse::Ok().json(dump),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn explain(
    machine: web::Data<Addr<Machine>>,
    question: web::Query<Question>,
) -> HttpResponse {
    let Question { method, path, account } = question.into_inner();
    match machine.send(Explain { method, path, account }).await {
        Ok(explained) => HttpResponse::Ok().json(explained),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
