//! A proxy between gateways and one server: it can hold what is on the way, cut the server off, or reset its connections.

use crate::judge::Judge;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, Interest, ReadHalf, WriteHalf, duplex, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// How often a held connection is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(5);
const ROOM: usize = 64 << 10;

/// What the proxy does with connections now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weather {
    #[default]
    Fair,
    /// Connections that are open fall silent; new ones are well.
    OldHeld,
    /// All connections are silent.
    AllHeld,
}

/// One connection through the proxy.
#[derive(Debug)]
pub struct Link {
    /// When it came up: those before a weather change are old.
    opened: Instant,
    weather: Rc<Cell<(Weather, Instant)>>,
    /// When the first byte of the request in hand came.
    first_byte: Cell<Option<Instant>>,
    /// Whether the connection was held since the request before: what comes may have been written long before.
    held: Cell<bool>,
    closed: Cell<bool>,
    closing: Notify,
    /// Whether it was the proxy that reset it.
    reset: Cell<bool>,
}

impl Link {
    /// When the first byte of the request in hand was written, unless it was held on its way.
    pub fn written(&self) -> Option<Instant> {
        self.first_byte.get().filter(|_| !self.held.get())
    }

    /// A request has been answered.
    pub fn next_request(&self) {
        self.first_byte.set(None);
        self.held.set(false);
    }

    /// Whether nothing is carried on it now.
    pub fn is_held(&self) -> bool {
        match self.weather.get() {
            (Weather::Fair, _) => false,
            (Weather::OldHeld, since) => self.opened < since,
            (Weather::AllHeld, _) => true,
        }
    }

    /// Waits until what was said on it can have come to the gateway, or that has closed it.
    pub async fn until_delivered(&self) {
        while self.is_held() && !self.until_closed(LOOK_EVERY).await {}
    }

    /// Whether the network broke it, not the gateway.
    pub fn was_reset(&self) -> bool {
        self.reset.get()
    }

    /// Whether the gateway has closed it.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    fn close(&self) {
        self.closed.set(true);
        self.closing.notify_waiters();
    }

    /// Waits so long, or until the gateway has closed the connection; whether it has.
    pub async fn until_closed(&self, span: Duration) -> bool {
        let closing = self.closing.notified();
        if !self.is_closed() {
            let _ = tokio::time::timeout(span, closing).await;
        }
        self.is_closed()
    }
}

/// The proxy in front of one server.
pub struct Proxy {
    pub address: SocketAddr,
    weather: Rc<Cell<(Weather, Instant)>>,
    /// Connections that came up before this are reset.
    reset_before: Cell<Option<Instant>>,
    links: RefCell<Vec<std::rc::Weak<Link>>>,
}

impl Proxy {
    /// Listens; hands each connection's far end to `serve`.
    pub async fn start(serve: impl Fn(DuplexStream, Rc<Link>) + 'static) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let proxy = Rc::new(Self {
            address: listener.local_addr().expect("an address"),
            weather: Rc::new(Cell::new((Weather::Fair, Instant::now()))),
            reset_before: Cell::default(),
            links: RefCell::default(),
        });
        let serving = proxy.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let link = Rc::new(Link {
                    opened: Instant::now(),
                    weather: serving.weather.clone(),
                    first_byte: Cell::default(),
                    held: Cell::default(),
                    closed: Cell::default(),
                    closing: Notify::new(),
                    reset: Cell::default(),
                });
                serving.links.borrow_mut().push(Rc::downgrade(&link));
                let (near, far) = duplex(ROOM);
                serve(far, link.clone());
                spawn_local(serving.clone().carry(stream, near, link));
            }
        });
        proxy
    }

    pub fn set(&self, weather: Weather) {
        self.weather.set((weather, Instant::now()));
        if weather != Weather::Fair {
            self.links.borrow_mut().retain(|link| link.strong_count() > 0);
        }
    }

    pub fn reset(&self) {
        self.reset_before.set(Some(Instant::now()));
    }

    fn is_reset(&self, link: &Link) -> bool {
        self.reset_before.get().is_some_and(|at| link.opened < at)
    }

    /// Carries one connection until either side ends it or it is reset.
    async fn carry(self: Rc<Self>, stream: TcpStream, near: DuplexStream, link: Rc<Link>) {
        let stream = Rc::new(stream);
        let (from_server, to_server) = split(near);
        let up = self.clone().carry_up(stream.clone(), to_server, link.clone());
        let down = self.clone().carry_down(stream.clone(), from_server, link.clone());
        let reset = async {
            while !self.is_reset(&link) {
                tokio::time::sleep(LOOK_EVERY).await;
            }
            link.reset.set(true);
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        };
        tokio::select! {
            () = up => {}
            () = down => {}
            () = reset => {}
        }
        link.close();
    }

    /// Waits while the link is held; whether it can still be used then. One that the gateway has reset meanwhile has
    /// nothing more to deliver.
    async fn wait_until_open(&self, stream: &TcpStream, link: &Link) -> bool {
        let mut held = false;
        while link.is_held() {
            held = true;
            link.held.set(true);
            let ready = stream.ready(Interest::READABLE);
            if let Ok(Ok(ready)) = tokio::time::timeout(LOOK_EVERY, ready).await
                && ready.is_read_closed()
            {
                link.close();
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        !held || matches!(stream.take_error(), Ok(None))
    }

    async fn carry_up(
        self: Rc<Self>,
        stream: Rc<TcpStream>,
        mut to: WriteHalf<DuplexStream>,
        link: Rc<Link>,
    ) {
        let mut buffer = vec![0; ROOM];
        loop {
            if stream.readable().await.is_err() || !self.wait_until_open(&stream, &link).await {
                return;
            }
            match stream.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(read) => {
                    if link.first_byte.get().is_none() {
                        link.first_byte.set(Some(Instant::now()));
                    }
                    if to.write_all(&buffer[..read]).await.is_err() {
                        return;
                    }
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    async fn carry_down(
        self: Rc<Self>,
        stream: Rc<TcpStream>,
        mut from: ReadHalf<DuplexStream>,
        link: Rc<Link>,
    ) {
        let mut buffer = vec![0; ROOM];
        while let Ok(read) = from.read(&mut buffer).await {
            if read == 0 || !self.wait_until_open(&stream, &link).await {
                return;
            }
            let mut left = &buffer[..read];
            while !left.is_empty() {
                if stream.writable().await.is_err() {
                    return;
                }
                match stream.try_write(left) {
                    Ok(written) => left = &left[written..],
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        }
    }
}

/// Measures how late this process's own tasks run, for the judge.
pub async fn measure_lateness(judge: Rc<RefCell<Judge>>) {
    const STEP: Duration = Duration::from_millis(20);
    loop {
        let before = Instant::now();
        tokio::time::sleep(STEP).await;
        let late = before.elapsed().saturating_sub(STEP);
        let mut judge = judge.borrow_mut();
        judge.lateness = judge.lateness.max(late);
        judge.check_open_requests();
    }
}
