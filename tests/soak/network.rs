//! A proxy between the gateways and one server. The proxy can hold data in transit, cut the server off or
//! reset its connections.

use crate::judge::Judge;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, Interest, ReadHalf, WriteHalf, duplex, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Interval at which the state of a held connection is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the buffers of a connection, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// Condition of the proxy's links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkCondition {
    #[default]
    Normal,
    /// Links that are already open carry no data; new links work.
    OldLinksHeld,
    /// No link carries data.
    AllLinksHeld,
}

/// One connection through the proxy.
#[derive(Debug)]
pub struct Link {
    /// When the connection was accepted. Links accepted before the condition changed count as old.
    opened_at: Instant,
    condition: Rc<Cell<(LinkCondition, Instant)>>,
    /// When the first byte of the current request was received.
    first_byte: Cell<Option<Instant>>,
    /// True if the link was held since the previous request: received data may have been sent long before.
    held_since_last_request: Cell<bool>,
    closed: Cell<bool>,
    closing: Notify,
    /// True if the proxy reset the connection.
    reset_by_proxy: Cell<bool>,
}

impl Link {
    /// Returns when the first byte of the current request was received, or `None` if the link was held since
    /// the previous request.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.first_byte.get().filter(|_| !self.held_since_last_request.get())
    }

    /// Prepares the link for the next request once the current one has been answered.
    pub fn prepare_next_request(&self) {
        self.first_byte.set(None);
        self.held_since_last_request.set(false);
    }

    /// Returns true if the link carries no data at present.
    pub fn is_held(&self) -> bool {
        match self.condition.get() {
            (LinkCondition::Normal, _) => false,
            (LinkCondition::OldLinksHeld, since) => self.opened_at < since,
            (LinkCondition::AllLinksHeld, _) => true,
        }
    }

    /// Waits until the server's response can be delivered to the gateway, or the gateway has closed the link.
    pub async fn wait_until_delivered(&self) {
        while self.is_held() && !self.wait_until_closed(POLL_INTERVAL).await {}
    }

    /// Returns true if the proxy, not the gateway, reset the connection.
    pub fn was_reset(&self) -> bool {
        self.reset_by_proxy.get()
    }

    /// Returns true if the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    fn close(&self) {
        self.closed.set(true);
        self.closing.notify_waiters();
    }

    /// Waits at most `max_wait` until the connection has ended. Returns true if the connection has ended.
    pub async fn wait_until_closed(&self, max_wait: Duration) -> bool {
        let closing = self.closing.notified();
        if !self.is_closed() {
            let _ = tokio::time::timeout(max_wait, closing).await;
        }
        self.is_closed()
    }
}

/// The proxy in front of one server.
pub struct Proxy {
    pub address: SocketAddr,
    condition: Rc<Cell<(LinkCondition, Instant)>>,
    /// Connections that were accepted before this time are reset.
    reset_before: Cell<Option<Instant>>,
    links: RefCell<Vec<std::rc::Weak<Link>>>,
}

impl Proxy {
    /// Starts to listen and passes the server's end of each connection to `serve`.
    pub async fn start(serve: impl Fn(DuplexStream, Rc<Link>) + 'static) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port can be bound");
        let proxy = Rc::new(Self {
            address: listener.local_addr().expect("the listener has a local address"),
            condition: Rc::new(Cell::new((LinkCondition::Normal, Instant::now()))),
            reset_before: Cell::default(),
            links: RefCell::default(),
        });
        let accepting_proxy = proxy.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let link = Rc::new(Link {
                    opened_at: Instant::now(),
                    condition: accepting_proxy.condition.clone(),
                    first_byte: Cell::default(),
                    held_since_last_request: Cell::default(),
                    closed: Cell::default(),
                    closing: Notify::new(),
                    reset_by_proxy: Cell::default(),
                });
                accepting_proxy.links.borrow_mut().push(Rc::downgrade(&link));
                let (proxy_end, server_end) = duplex(BUFFER_BYTES);
                serve(server_end, link.clone());
                spawn_local(accepting_proxy.clone().forward(stream, proxy_end, link));
            }
        });
        proxy
    }

    pub fn set_condition(&self, condition: LinkCondition) {
        self.condition.set((condition, Instant::now()));
        if condition != LinkCondition::Normal {
            self.links.borrow_mut().retain(|link| link.strong_count() > 0);
        }
    }

    pub fn reset(&self) {
        self.reset_before.set(Some(Instant::now()));
    }

    fn is_reset(&self, link: &Link) -> bool {
        self.reset_before.get().is_some_and(|reset_at| link.opened_at < reset_at)
    }

    /// Forwards the data of one connection until either side closes the connection or the proxy resets it.
    async fn forward(self: Rc<Self>, stream: TcpStream, proxy_end: DuplexStream, link: Rc<Link>) {
        let stream = Rc::new(stream);
        let (from_server, to_server) = split(proxy_end);
        let upstream = self.clone().forward_to_server(stream.clone(), to_server, link.clone());
        let downstream = self.clone().forward_to_gateway(stream.clone(), from_server, link.clone());
        let reset_watch = async {
            while !self.is_reset(&link) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            link.reset_by_proxy.set(true);
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        };
        tokio::select! {
            () = upstream => {}
            () = downstream => {}
            () = reset_watch => {}
        }
        link.close();
    }

    /// Waits while the link is held. Returns true if the link can be used afterwards: a link that the gateway
    /// has reset meanwhile has no data left to deliver.
    async fn wait_until_released(&self, stream: &TcpStream, link: &Link) -> bool {
        let mut was_held = false;
        while link.is_held() {
            was_held = true;
            link.held_since_last_request.set(true);
            let readiness = stream.ready(Interest::READABLE);
            if let Ok(Ok(ready)) = tokio::time::timeout(POLL_INTERVAL, readiness).await
                && ready.is_read_closed()
            {
                link.close();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        !was_held || matches!(stream.take_error(), Ok(None))
    }

    async fn forward_to_server(
        self: Rc<Self>,
        stream: Rc<TcpStream>,
        mut server_sink: WriteHalf<DuplexStream>,
        link: Rc<Link>,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            if stream.readable().await.is_err() || !self.wait_until_released(&stream, &link).await {
                return;
            }
            match stream.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(byte_count) => {
                    if link.first_byte.get().is_none() {
                        link.first_byte.set(Some(Instant::now()));
                    }
                    if server_sink.write_all(&buffer[..byte_count]).await.is_err() {
                        return;
                    }
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    async fn forward_to_gateway(
        self: Rc<Self>,
        stream: Rc<TcpStream>,
        mut server_source: ReadHalf<DuplexStream>,
        link: Rc<Link>,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(byte_count) = server_source.read(&mut buffer).await {
            if byte_count == 0 || !self.wait_until_released(&stream, &link).await {
                return;
            }
            let mut remaining = &buffer[..byte_count];
            while !remaining.is_empty() {
                if stream.writable().await.is_err() {
                    return;
                }
                match stream.try_write(remaining) {
                    Ok(written_count) => remaining = &remaining[written_count..],
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        }
    }
}

/// Measures how late this process's own tasks run, which the judge adds to its bounds.
pub async fn measure_lateness(judge: Rc<RefCell<Judge>>) {
    const SLEEP_DURATION: Duration = Duration::from_millis(20);
    loop {
        let sleep_start = Instant::now();
        tokio::time::sleep(SLEEP_DURATION).await;
        let oversleep = sleep_start.elapsed().saturating_sub(SLEEP_DURATION);
        let mut judge = judge.borrow_mut();
        judge.lateness = judge.lateness.max(oversleep);
        judge.check_open_requests();
    }
}
