//! A scripted client that requests tasks on a connection and reads the messages of the placer.

use crate::TEST_TIMEOUT;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// A decoded message from the placer to a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// The number of the message type on the wire.
    pub kind: u8,
    /// The id of the request that the message belongs to.
    pub id: u64,
    /// The parameters of the message, each with its code and its value.
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    /// Decodes the first message in `bytes`, and returns it with its encoded length. Returns `None` if it is incomplete
    /// or malformed.
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

    /// Returns the value of the parameter with this code.
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters
            .iter()
            .find(|(c, _)| *c == code)
            .map(|(_, value)| value.as_slice())
    }

    /// Returns the value of the parameter with this code as text.
    ///
    /// # Panics
    ///
    /// If the value is not valid UTF-8.
    pub fn text(&self, code: u8) -> Option<&str> {
        self.get(code)
            .map(|value| std::str::from_utf8(value).expect("the parameter is not valid UTF-8"))
    }

    /// Returns the cause code of the message.
    ///
    /// # Panics
    ///
    /// If the message has no cause, or one that is not a single byte.
    pub fn cause(&self) -> u8 {
        match self.get(171) {
            Some([cause]) => *cause,
            other => panic!("no valid cause: {other:?}"),
        }
    }
}

/// A client's connection to a placer.
pub struct Client(pub TcpStream);

/// A request for the placement of a task.
pub struct TaskRequest<'a> {
    /// The class of the task.
    pub class: &'a str,
    /// How long the client waits for the answer, in milliseconds.
    pub wait_ms: u64,
    /// The id of the service that the task belongs to.
    pub service: u64,
    /// The name of the host that already runs the task, if the client reconnects to a running task.
    pub running_at: Option<&'a str>,
}

/// A request for an idempotent task.
pub const IDEMPOTENT_TASK: TaskRequest<'_> = TaskRequest {
    class: "quick",
    wait_ms: 6_000,
    service: 7,
    running_at: None,
};
/// A request for a non-idempotent task, which must not be started twice.
pub const NON_IDEMPOTENT_TASK: TaskRequest<'_> = TaskRequest {
    class: "once",
    wait_ms: 6_000,
    service: 9,
    running_at: None,
};

/// Encodes a message of a client, including its length prefix.
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

/// Encodes a request for a task. The idempotency key of the task is derived from `id`.
pub fn encode_task_request(id: u64, request: &TaskRequest<'_>, description: &str) -> Vec<u8> {
    let mut requirements = format!("cores:1;memory:2;service:{:016x}", request.service);
    if let Some(host) = request.running_at {
        requirements.push_str(&format!(";at:{host}"));
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
            (144, requirements.as_bytes()),
            (174, description.as_bytes()),
        ],
    )
}

impl Client {
    /// Sends bytes as they are.
    ///
    /// # Panics
    ///
    /// If the connection has failed.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("cannot send to the placer");
    }

    /// Requests a task with a default description.
    pub fn request_task(&mut self, id: u64, request: &TaskRequest<'_>) {
        self.send(&encode_task_request(id, request, &format!("c=IN {id}\r\n")));
    }

    /// Requests a task with the given description.
    pub fn request_task_with(&mut self, id: u64, request: &TaskRequest<'_>, description: &str) {
        self.send(&encode_task_request(id, request, description));
    }

    /// Releases a task: withdraws its request if it is still open, otherwise ends the running task.
    pub fn release(&mut self, id: u64, cause: u8) {
        self.send(&encode_message(12, id, &[(171, &[cause])]));
    }

    /// Sends a health check and returns whether it passed.
    ///
    /// # Panics
    ///
    /// If the next message is not the result of the health check.
    pub fn health_check(&mut self) -> bool {
        self.send(&encode_message(52, 0xfe, &[(171, &[0])]));
        let result = self.expect_message();
        assert_eq!((result.kind, result.id), (53, 0xfe));
        result.cause() == 1
    }

    /// Reads the next message, and returns `None` if the connection has ended.
    ///
    /// # Panics
    ///
    /// If the connection fails, or no message arrives within [`TEST_TIMEOUT`].
    pub fn next_message(&mut self) -> Option<Message> {
        self.try_message()
            .unwrap_or_else(|e| panic!("cannot read the next message: {e}"))
    }

    /// Reads the next message, and returns `None` if the connection has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if no message arrives within [`TEST_TIMEOUT`], or the connection fails.
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

    /// Reads the next message, and returns `None` if the connection has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if no message begins to arrive within `limit`, or the connection fails.
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

    /// Closes the connection at once by shutting down its write side. Dropping the socket would not be enough: a
    /// process that another test is just forking may hold a copy of its descriptor until that process executes its
    /// program.
    ///
    /// # Panics
    ///
    /// If the connection has already ended.
    pub fn close(self) {
        self.0
            .shutdown(Shutdown::Write)
            .expect("the connection has already ended");
    }

    /// Acknowledges the end of a task.
    pub fn acknowledge_end(&mut self, id: u64) {
        let _ = self.0.write_all(&encode_message(16, id, &[]));
    }

    /// Reads the next message.
    ///
    /// # Panics
    ///
    /// If the connection ends, or no message arrives within [`TEST_TIMEOUT`].
    pub fn expect_message(&mut self) -> Message {
        self.next_message()
            .expect("the connection ended instead of a message")
    }
}
