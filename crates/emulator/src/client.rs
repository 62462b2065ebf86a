//! A client of the placer: asks for tasks on a connection, and reads what it is told of them.

use crate::LIMIT;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// A message to a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// Its type.
    pub kind: u8,
    /// Its task.
    pub id: u64,
    /// Its parameters.
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    /// Reads the first message of `bytes`: itself and its length, or none if more must come or none is there.
    pub fn read(bytes: &[u8]) -> Option<(Message, usize)> {
        let (length, rest) = bytes.split_first_chunk::<2>()?;
        let length = usize::from(u16::from_be_bytes(*length));
        Some((Message::read_body(rest.get(..length)?)?, length + 2))
    }

    fn read_body(body: &[u8]) -> Option<Message> {
        let (kind, rest) = body.split_first()?;
        let (id, mut rest) = rest.split_first_chunk::<8>()?;
        let mut parameters = Vec::new();
        while let [code, a, b, after @ ..] = rest {
            let (value, after) =
                after.split_at_checked(usize::from(u16::from_be_bytes([*a, *b])))?;
            parameters.push((*code, value.to_vec()));
            rest = after;
        }
        Some(Message {
            kind: *kind,
            id: u64::from_be_bytes(*id),
            parameters,
        })
    }

    /// A parameter.
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters
            .iter()
            .find(|(c, _)| *c == code)
            .map(|(_, value)| value.as_slice())
    }

    /// A parameter as text.
    pub fn text(&self, code: u8) -> Option<&str> {
        self.get(code)
            .map(|value| std::str::from_utf8(value).expect("text"))
    }

    /// The cause, which must be there.
    pub fn cause(&self) -> u8 {
        match self.get(171) {
            Some([cause]) => *cause,
            other => panic!("no cause: {other:?}"),
        }
    }
}

/// A connection of a client.
pub struct Client(pub TcpStream);

/// A set-up as a client writes it.
pub struct Ask<'a> {
    /// Its class.
    pub class: &'a str,
    /// How long the client waits.
    pub wait_ms: u64,
    /// Its service.
    pub service: u64,
    /// The host that holds it already.
    pub at: Option<&'a str>,
}

/// A safe task.
pub const QUICK: Ask<'_> = Ask {
    class: "quick",
    wait_ms: 6_000,
    service: 7,
    at: None,
};
/// A task that must not start twice.
pub const ONCE: Ask<'_> = Ask {
    class: "once",
    wait_ms: 6_000,
    service: 9,
    at: None,
};

/// A message as bytes.
pub fn bytes(kind: u8, id: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(id.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    let mut all = (body.len() as u16).to_be_bytes().to_vec();
    all.extend(body);
    all
}

/// A set-up as bytes.
pub fn set_up(id: u64, ask: &Ask<'_>, description: &str) -> Vec<u8> {
    let mut figures = format!("cores:1;memory:2;service:{:016x}", ask.service);
    if let Some(host) = ask.at {
        figures.push_str(&format!(";at:{host}"));
    }
    let (wait, key) = (ask.wait_ms.to_string(), format!("{:016x}", id + 0xabc0));
    bytes(
        1,
        id,
        &[
            (129, ask.class.as_bytes()),
            (132, wait.as_bytes()),
            (135, b"ours"),
            (141, key.as_bytes()),
            (144, figures.as_bytes()),
            (174, description.as_bytes()),
        ],
    )
}

impl Client {
    /// Sends bytes.
    pub fn say(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("it reads");
    }

    /// Asks for a task to be placed.
    pub fn set_up(&mut self, id: u64, ask: &Ask<'_>) {
        self.say(&set_up(id, ask, &format!("c=IN {id}\r\n")));
    }

    /// The same with this description.
    pub fn set_up_with(&mut self, id: u64, ask: &Ask<'_>, description: &str) {
        self.say(&set_up(id, ask, description));
    }

    /// Gives a set-up up, or ends a task.
    pub fn release(&mut self, id: u64, cause: u8) {
        self.say(&bytes(12, id, &[(171, &[cause])]));
    }

    /// Sends a test and answers whether it passed.
    pub fn test(&mut self) -> bool {
        self.say(&bytes(52, 0xfe, &[(171, &[0])]));
        let result = self.read();
        assert_eq!((result.kind, result.id), (53, 0xfe));
        result.cause() == 1
    }

    /// The next message, or none where the connection ends.
    pub fn next_message(&mut self) -> Option<Message> {
        self.try_message()
            .unwrap_or_else(|e| panic!("nothing comes: {e}"))
    }

    /// The next message, none where the connection ends, an error where nothing comes in time.
    pub fn try_message(&mut self) -> std::io::Result<Option<Message>> {
        let mut length = [0; 2];
        match self.0.read_exact(&mut length) {
            Ok(()) => {}
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset
                ) =>
            {
                return Ok(None);
            }
            Err(e) => return Err(e),
        }
        let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
        self.0.read_exact(&mut body)?;
        Ok(Message::read_body(&body))
    }

    /// The next message, none where the connection ends, an error where none begins in time.
    pub fn message_within(&mut self, limit: Duration) -> std::io::Result<Option<Message>> {
        self.0.set_read_timeout(Some(limit))?;
        let begun = self.0.peek(&mut [0; 2]);
        self.0.set_read_timeout(Some(LIMIT))?;
        match begun {
            Err(e) if e.kind() == ErrorKind::ConnectionReset => Ok(None),
            Err(e) => Err(e),
            Ok(_) => self.try_message(),
        }
    }

    /// Closes the connection now. Where it is only dropped, a process that another test just starts may hold a
    /// copy of it, until it runs its program.
    pub fn leave(self) {
        self.0.shutdown(Shutdown::Write).expect("it is open");
    }

    /// Says that the end of a task was heard.
    pub fn heard(&mut self, id: u64) {
        let _ = self.0.write_all(&bytes(16, id, &[]));
    }

    /// The next message, which must come.
    pub fn read(&mut self) -> Message {
        self.next_message().expect("a message")
    }
}
