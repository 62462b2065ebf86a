//! A scripted client: requests tasks on a connection, and reads the messages of the placer.

use crate::TEST_TIMEOUT;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// A message to a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// Its type on the wire.
    pub kind: u8,
    /// The id of its task.
    pub id: u64,
    /// Its parameters: code and value.
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    /// Decodes the first message of `bytes`, and returns it with its length; none if it is incomplete.
    pub fn decode(bytes: &[u8]) -> Option<(Message, usize)> {
        let (length, rest) = bytes.split_first_chunk::<2>()?;
        let length = usize::from(u16::from_be_bytes(*length));
        Some((Message::decode_body(rest.get(..length)?)?, length + 2))
    }

    fn decode_body(body: &[u8]) -> Option<Message> {
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

    /// Returns a parameter.
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters
            .iter()
            .find(|(c, _)| *c == code)
            .map(|(_, value)| value.as_slice())
    }

    /// Returns a parameter as text.
    ///
    /// # Panics
    ///
    /// If the parameter is no text.
    pub fn text(&self, code: u8) -> Option<&str> {
        self.get(code)
            .map(|value| std::str::from_utf8(value).expect("text"))
    }

    /// Returns the cause, which must be there.
    ///
    /// # Panics
    ///
    /// If the message carries no cause.
    pub fn cause(&self) -> u8 {
        match self.get(171) {
            Some([cause]) => *cause,
            other => panic!("no cause: {other:?}"),
        }
    }
}

/// A connection of a client.
pub struct Client(pub TcpStream);

/// A request for a task.
pub struct TaskRequest<'a> {
    /// The class of the task.
    pub class: &'a str,
    /// How long the client waits, in milliseconds.
    pub wait_ms: u64,
    /// Its service.
    pub service: u64,
    /// The host that runs it already, for a client that reconnects.
    pub running_at: Option<&'a str>,
}

/// A request for an idempotent task.
pub const IDEMPOTENT_TASK: TaskRequest<'_> = TaskRequest {
    class: "quick",
    wait_ms: 6_000,
    service: 7,
    running_at: None,
};
/// A request for a task that must not start twice.
pub const NON_IDEMPOTENT_TASK: TaskRequest<'_> = TaskRequest {
    class: "once",
    wait_ms: 6_000,
    service: 9,
    running_at: None,
};

/// Encodes a message.
pub fn encode_message(kind: u8, id: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
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

/// Encodes a request for a task.
pub fn encode_task_request(id: u64, request: &TaskRequest<'_>, description: &str) -> Vec<u8> {
    let mut figures = format!("cores:1;memory:2;service:{:016x}", request.service);
    if let Some(host) = request.running_at {
        figures.push_str(&format!(";at:{host}"));
    }
    let (wait, key) = (request.wait_ms.to_string(), format!("{:016x}", id + 0xabc0));
    encode_message(
        1,
        id,
        &[
            (129, request.class.as_bytes()),
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
    ///
    /// # Panics
    ///
    /// If the placer does not read.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("the placer reads");
    }

    /// Requests a task.
    pub fn request_task(&mut self, id: u64, request: &TaskRequest<'_>) {
        self.send(&encode_task_request(id, request, &format!("c=IN {id}\r\n")));
    }

    /// Requests a task with this description.
    pub fn request_task_with(&mut self, id: u64, request: &TaskRequest<'_>, description: &str) {
        self.send(&encode_task_request(id, request, description));
    }

    /// Gives a request up, or ends a task.
    pub fn release(&mut self, id: u64, cause: u8) {
        self.send(&encode_message(12, id, &[(171, &[cause])]));
    }

    /// Sends a health check and returns whether it passed.
    ///
    /// # Panics
    ///
    /// If something else than the result of the check comes.
    pub fn health_check(&mut self) -> bool {
        self.send(&encode_message(52, 0xfe, &[(171, &[0])]));
        let result = self.expect_message();
        assert_eq!((result.kind, result.id), (53, 0xfe));
        result.cause() == 1
    }

    /// Reads the next message; none where the connection ends.
    ///
    /// # Panics
    ///
    /// If the connection fails or nothing comes in time.
    pub fn next_message(&mut self) -> Option<Message> {
        self.try_message()
            .unwrap_or_else(|e| panic!("no message: {e}"))
    }

    /// Reads the next message; none where the connection ends.
    ///
    /// # Errors
    ///
    /// No message comes in time, or the connection fails.
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
        Ok(Message::decode_body(&body))
    }

    /// Reads the next message; none where the connection ends.
    ///
    /// # Errors
    ///
    /// No message begins within the limit, or the connection fails.
    pub fn message_within(&mut self, limit: Duration) -> std::io::Result<Option<Message>> {
        self.0.set_read_timeout(Some(limit))?;
        let begun = self.0.peek(&mut [0; 2]);
        self.0.set_read_timeout(Some(TEST_TIMEOUT))?;
        match begun {
            Err(e) if e.kind() == ErrorKind::ConnectionReset => Ok(None),
            Err(e) => Err(e),
            Ok(_) => self.try_message(),
        }
    }

    /// Closes the connection now. If it were only dropped, a process that another test is just forking could keep
    /// a copy open until it executes its program.
    ///
    /// # Panics
    ///
    /// If the connection has ended already.
    pub fn close(self) {
        self.0
            .shutdown(Shutdown::Write)
            .expect("an open connection");
    }

    /// Acknowledges the end of a task.
    pub fn acknowledge_end(&mut self, id: u64) {
        let _ = self.0.write_all(&encode_message(16, id, &[]));
    }

    /// Reads the next message, which must come.
    ///
    /// # Panics
    ///
    /// If no message comes in time.
    pub fn expect_message(&mut self) -> Message {
        self.next_message().expect("a message")
    }
}
