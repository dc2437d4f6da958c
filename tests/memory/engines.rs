//! Engines whose response is given byte for byte, sent at once or in small pieces.

use crate::loopback::{ReceivedRequest, read_message};
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The response of an engine to each request.
#[derive(Clone)]
pub struct EngineResponse {
    /// Delay before the response.
    pub delay: Duration,
    /// The response with its head.
    pub bytes: Rc<[u8]>,
    /// Number of bytes that are written at a time.
    pub piece_bytes: usize,
}

impl EngineResponse {
    /// A response that is sent at once.
    pub fn new(bytes: impl AsRef<[u8]>) -> Self {
        let bytes = Rc::from(bytes.as_ref());
        Self { delay: Duration::ZERO, bytes, piece_bytes: usize::MAX }
    }

    /// A response with a complete JSON body.
    pub fn json(status: &str, body: &str) -> Self {
        Self::new(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
    }

    /// A response whose body is a stream of chunks.
    pub fn chunks<'a>(content_type: &str, chunks: impl IntoIterator<Item = &'a str>) -> Self {
        let mut text =
            format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nTransfer-Encoding: chunked\r\n\r\n");
        for chunk in chunks {
            text += &format!("{:x}\r\n{chunk}\r\n", chunk.len());
        }
        Self::new(text + "0\r\n\r\n")
    }

    async fn write_to(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        tokio::time::sleep(self.delay).await;
        for piece in self.bytes.chunks(self.piece_bytes) {
            stream.write_all(piece).await?;
            if self.piece_bytes < usize::MAX {
                // The gateway reads each piece by itself.
                tokio::task::yield_now().await;
            }
        }
        Ok(())
    }
}

/// Starts an engine and returns its entry in the list of discovery.
pub async fn start_engine(uid: &str, model: &str, response: EngineResponse) -> Value {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_connection(stream, response.clone()));
        }
    });
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": model, "pod_group": 0,
        "state": "SERVING", "capacity_hint": 1.0, "boot_ms": 0})
}

async fn serve_connection(mut stream: TcpStream, response: EngineResponse) {
    stream.set_nodelay(true).expect("the option can be set");
    while let Some(ReceivedRequest { method, .. }) = read_message(&mut stream).await {
        let written = match method.as_str() {
            "DELETE" => stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await,
            _ => response.write_to(&mut stream).await,
        };
        if written.is_err() {
            return;
        }
    }
}
