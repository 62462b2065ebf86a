//! Tests of the queue of log lines.

use super::*;

/// A writer that takes this many bytes and then blocks.
struct BoundedWriter(usize, Vec<u8>);

impl Write for BoundedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let n = bytes.len().min(self.0);
        if n == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        self.0 -= n;
        self.1.extend_from_slice(bytes.get(..n).unwrap_or_default());
        Ok(n)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_wait_in_order_and_beyond_the_limit_whole_lines_are_dropped_and_counted() {
    let mut queue = LineQueue::new(&operator::LogSettings {
        queue_bytes: 30,
        ..operator::LogSettings::default()
    });
    let mut out = BoundedWriter(5, Vec::new());
    for n in 0..6 {
        queue.push(format!("line {n} ..\n").as_bytes());
        queue.write_ready(&mut out, || true);
    }
    assert_eq!(
        (out.1.as_slice(), queue.dropped),
        (&b"line "[..], 3),
        "{queue:?}"
    );
    out.0 = 1_000;
    queue.write_ready(&mut out, || true);
    queue.write_ready(&mut out, || true);
    let text = String::from_utf8(out.1).expect("UTF-8");
    assert!(
        text.starts_with("line 0 ..\nline 1 ..\nline 2 ..\n"),
        "{text}"
    );
    assert!(text.ends_with("log lines dropped dropped=3\n"), "{text}");
}

// Regression: after one write had failed on a full disk, nothing was logged until the process exited.
#[test]
fn log_goes_on_when_the_disk_was_full_for_a_while() {
    struct DiskFullOnce(bool, Vec<u8>);
    impl Write for DiskFullOnce {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            if std::mem::replace(&mut self.0, false) {
                return Err(ErrorKind::StorageFull.into());
            }
            self.1.write(bytes)
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut queue = LineQueue::new(&operator::LogSettings::default());
    let mut out = DiskFullOnce(true, Vec::new());
    queue.push(b"line 0\n");
    queue.write_ready(&mut out, || true);
    queue.push(b"line 1\n");
    queue.write_ready(&mut out, || true);
    assert_eq!(out.1, b"line 0\nline 1\n");
}

#[test]
fn writer_that_is_not_ready_is_not_written_to_and_a_closed_one_drops_all() {
    struct ClosedWriter;
    impl Write for ClosedWriter {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            Err(ErrorKind::BrokenPipe.into())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut queue = LineQueue::new(&operator::LogSettings::default());
    queue.push(b"line\n");
    queue.write_ready(&mut ClosedWriter, || false);
    assert!(!queue.is_closed && !queue.bytes.is_empty());
    queue.write_ready(&mut ClosedWriter, || true);
    assert!(queue.is_closed && queue.bytes.is_empty());
    queue.push(b"line\n");
    assert!(queue.bytes.is_empty());
}
