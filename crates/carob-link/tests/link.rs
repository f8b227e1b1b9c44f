//! Frames: forged, misdirected, replayed and outdated ones are rejected, and those on a connection are read
//! whatever the size of its pieces.

use std::{
    io::{self, Cursor, Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use bytes::Bytes;
use carob_link::{
    Endpoint, Error, Frames, Key, Opener, ReplayWindow, Sealer, exchange,
    frame::{OVERHEAD, VERSION},
    stream::MAX_FRAME_BYTES,
};

const A: u32 = 1;
const B: u32 = 2;

fn pair() -> (Sealer, Opener) {
    let key = Key::new(b"secret");
    (Sealer::new(key.clone(), A, 10), Opener::new(key, B))
}

#[test]
fn a_sealed_frame_opens_once() {
    let (mut sealer, mut opener) = pair();
    let frame = sealer.seal(B, b"hello");
    assert_eq!(frame.len(), 5 + OVERHEAD);
    let opened = opener.open(&frame).expect("genuine");
    assert_eq!(
        (opened.from, opened.incarnation, &opened.body[..]),
        (A, 10, &b"hello"[..])
    );
    assert_eq!(opener.open(&frame), Err(Error::Replayed));
}

#[test]
fn any_changed_byte_is_noticed() {
    let (mut sealer, opener) = pair();
    let frame = sealer.seal(B, b"hello");
    for index in 0..frame.len() {
        let mut changed = frame.to_vec();
        changed[index] ^= 1;
        assert!(opener.clone().open(&changed.into()).is_err(), "byte {index}");
    }
}

#[test]
fn another_key_receiver_version_or_length_is_refused() {
    let (mut sealer, mut opener) = pair();
    let frame = sealer.seal(B, b"hello");
    let mut other = Opener::new(Key::new(b"other"), B);
    assert_eq!(other.open(&frame), Err(Error::Tag));
    assert_eq!(opener.open(&sealer.seal(3, b"hello")), Err(Error::Tag));
    assert_eq!(opener.open(&frame.slice(..OVERHEAD - 1)), Err(Error::TooShort));
    let mut newer = frame.to_vec();
    newer[0] = VERSION + 1;
    assert_eq!(opener.open(&newer.into()), Err(Error::Version(VERSION + 1)));
}

#[test]
fn an_older_incarnation_is_refused_and_named() {
    let (mut sealer, mut opener) = pair();
    let old = sealer.seal(B, b"old");
    sealer.set_incarnation(11);
    opener.open(&sealer.seal(B, b"new")).expect("genuine");
    let refused = Error::OldIncarnation { from: A, known: 11 };
    assert_eq!(opener.open(&old), Err(refused));
}

#[test]
fn frames_may_overtake_each_other_within_the_window() {
    let mut window = ReplayWindow::default();
    assert!(window.accept(5) && window.accept(3) && window.accept(200));
    assert!(!window.accept(3) && !window.accept(5) && !window.accept(0));
    assert!(window.accept(199) && window.accept(73) && !window.accept(72));
}

/// A connection that returns one byte per read.
struct Trickle(Cursor<Vec<u8>>);

impl Read for Trickle {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.0.read(&mut buf[..1])
    }
}

impl Write for Trickle {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn streams_are_read_in_pieces() {
    let mut frames = Frames::new(Trickle(Cursor::default()));
    frames.write(Bytes::from_static(b"one")).expect("written");
    frames.write(Bytes::from_static(b"two")).expect("written");
    let mut stream = frames.close();
    stream.0.set_position(0);
    let mut frames = Frames::new(stream);
    assert_eq!(frames.read().expect("read").expect("frame"), "one");
    assert_eq!(frames.read().expect("read").expect("frame"), "two");
    assert!(frames.read().expect("read").is_none());
}

/// Time limit of a read.
const STEP: Duration = Duration::from_millis(200);

fn endpoint(id: u32, secret: &[u8]) -> Endpoint {
    Endpoint {
        key: Key::new(secret),
        id,
        incarnation: 1,
    }
}

/// Sends a request to an instance that responds with the request's body, twice.
fn request_echo(secret: &'static [u8], nonce: u64) -> io::Result<Bytes> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let server = thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a caller");
        let echo = |from, body: Bytes| {
            assert_eq!(from, A);
            [body.clone(), body].concat().into()
        };
        exchange::respond(&endpoint(B, b"secret"), stream, echo)
    });
    let answer = exchange::request(
        &endpoint(A, secret),
        B,
        address,
        nonce,
        b"ho",
        Duration::from_secs(5),
    );
    let served = server.join().expect("the server ends");
    assert_eq!(served.is_ok(), answer.is_ok());
    answer
}

#[test]
fn a_question_over_tcp_has_its_answer() {
    assert_eq!(request_echo(b"secret", 9).expect("answered"), "hoho");
}

#[test]
fn a_question_under_another_key_has_none() {
    request_echo(b"other", 9).expect_err("not authentic");
}

#[test]
fn cut_and_overlong_frames_are_errors() {
    let truncated = Cursor::new(vec![0, 0, 0, 9, 1]);
    Frames::new(truncated)
        .read()
        .expect_err("truncated within a frame");
    let long = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes().to_vec();
    Frames::new(Cursor::new(long)).read().expect_err("too long");
}

/// Serves a request that is announced with `length` and comes one byte at a time, each well within the time limit of a
/// read. Returns how long that took, and whether it failed.
fn serve_drip(length: u32) -> (Duration, bool) {
    const BYTES: usize = 200;
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let server = thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a peer");
        stream.set_read_timeout(Some(STEP)).expect("a socket");
        let begun = std::time::Instant::now();
        let served = exchange::respond(&endpoint(1, b"secret"), stream, |_from, body| body);
        (begun.elapsed(), served.is_err())
    });
    let mut peer = std::net::TcpStream::connect(address).expect("it listens");
    peer.write_all(&length.to_be_bytes()).expect("a length");
    for _ in 0..BYTES {
        thread::sleep(STEP / 4);
        if peer.write_all(b"x").is_err() {
            break;
        }
    }
    drop(peer);
    server.join().expect("it ends")
}

/// Requests are served one after the other. A sender that has not proved to be a peer announces a long request.
#[test]
fn a_request_that_drips_keeps_other_peers_out() {
    let (took, failed) = serve_drip(1 << 20);
    assert!(
        failed && took < STEP * 5,
        "served for {took:?}, with a limit of {STEP:?} for a step"
    );
}

/// The same with a request of a permitted length.
#[test]
fn a_short_request_that_drips_keeps_other_peers_out() {
    const LIMIT: Duration = Duration::from_secs(4);
    let (took, failed) = serve_drip(1_000);
    assert!(failed && took < LIMIT, "served for {took:?}");
}
