//! The admin HTTP listener: state dump, health check and explanations of decisions.

use {
    crate::machine::{Driver, Dump, Explain},
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
struct ExplainQuery {
    method: String,
    path: String,
    account: Option<id::Account>,
}

/// Starts the listener and returns it with the address that it is bound to.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn start(driver: Addr<Driver>, address: SocketAddr) -> io::Result<(Server, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(driver.clone()))
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

async fn dump(driver: web::Data<Addr<Driver>>) -> HttpResponse {
    match driver.send(Dump).await {
        Ok(dump) => HttpResponse::Ok().json(dump),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn explain(driver: web::Data<Addr<Driver>>, query: web::Query<ExplainQuery>) -> HttpResponse {
    let ExplainQuery { method, path, account } = query.into_inner();
    match driver.send(Explain { method, path, account }).await {
        Ok(explained) => HttpResponse::Ok().json(explained),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
