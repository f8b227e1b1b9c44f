//! Bytes of frames and of connections, which instances of older and newer binaries have to read.

use std::io::{self, Cursor, Read, Write};

use bytes::Bytes;
use carob_link::{Endpoint, Frames, Key, Opener, Sealer, exchange};

/// The first frame of instance 1, incarnation 10, to instance 2, in hexadecimal.
const FIRST: &str = "0100000001000000000000000a0000000168656c6c6f881f08aef297a876264213d5063790ef";
/// The second frame.
const SECOND: &str = "0100000001000000000000000a00000002616761696e8ac64fbacc022a623707b2fe86d98e51";
/// The first frame after the incarnation was raised to 11, without a body.
const RAISED: &str = "0100000001000000000000000b000000012aa780d42f9b04ef38775d40ad6bd887";
/// A question with the nonce 9 from instance 1, incarnation 1, to instance 2, as it goes over TCP.
const QUESTION: &str = "\
    0000002b01000000010000000000000001000000010000000000000009686f31d16c096be4eeb3f57723e6d6fbba24";
/// The answer to it by instance 2, incarnation 1.
const ANSWER: &str = "\
    0000002d01000000020000000000000001000000010000000000000009686f686fba48588ea63798116af2f5eabed615\
    60";

fn unhex(text: &str) -> Bytes {
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal");
    (0..text.len()).step_by(2).map(byte).collect()
}

#[test]
fn frames_are_sent_in_these_bytes() {
    let key = Key::new(b"secret");
    let mut sealer = Sealer::new(key.clone(), 1, 10);
    assert_eq!(sealer.seal(2, b"hello"), unhex(FIRST));
    assert_eq!(sealer.seal(2, b"again"), unhex(SECOND));
    sealer.set_incarnation(11);
    assert_eq!(sealer.seal(2, b""), unhex(RAISED));
    let mut opener = Opener::new(key, 2);
    for (frame, incarnation, body) in [(FIRST, 10, "hello"), (SECOND, 10, "again"), (RAISED, 11, "")] {
        let opened = opener.open(&unhex(frame)).expect("genuine");
        assert_eq!((opened.from, opened.incarnation), (1, incarnation));
        assert_eq!(opened.body, body);
    }
}

#[test]
fn frames_on_a_connection_follow_their_length() {
    let mut frames = Frames::new(Cursor::new(Vec::new()));
    frames.write(Bytes::from_static(b"one")).expect("written");
    frames.write(Bytes::new()).expect("written");
    assert_eq!(*frames.close().get_ref(), unhex("000000036f6e6500000000"));
    let mut frames = Frames::new(Cursor::new(unhex("000000036f6e6500000000").to_vec()));
    assert_eq!(frames.read().expect("read").expect("frame"), "one");
    assert_eq!(frames.read().expect("read").expect("frame"), "");
    assert!(frames.read().expect("read").is_none());
}

/// A connection that gives fixed bytes and keeps what is written.
struct Recorded {
    input: Cursor<Vec<u8>>,
    output: Vec<u8>,
}

impl Read for &mut Recorded {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.input.read(buf)
    }
}

impl Write for &mut Recorded {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.output.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn questions_and_answers_are_sent_in_these_bytes() {
    let party = |id| Endpoint {
        key: Key::new(b"secret"),
        id,
        incarnation: 1,
    };
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let mut question = vec![0; unhex(QUESTION).len()];
        stream.read_exact(&mut question).expect("a question");
        stream.write_all(&unhex(ANSWER)).expect("sent");
        question
    });
    let limit = std::time::Duration::from_secs(5);
    let answer = exchange::request(&party(1), 2, address, 9, b"ho", limit);
    assert_eq!(server.join().expect("the server ends"), unhex(QUESTION));
    assert_eq!(answer.expect("answered"), "hoho");

    let mut recorded = Recorded {
        input: Cursor::new(unhex(QUESTION).to_vec()),
        output: Vec::new(),
    };
    let echo = |from, question: Bytes| {
        assert_eq!((from, &question[..]), (1, &b"ho"[..]));
        Bytes::from_static(b"hoho")
    };
    exchange::respond(&party(2), &mut recorded, echo).expect("answered");
    assert_eq!(recorded.output, unhex(ANSWER));
}
