//! Which requests a connection refuses, and the copies of its refusals.

use super::{
    answer::{AnswerSubject, pause, refusal_answer},
    request::SeenRequest,
    script::{BackendFault, BackendScript},
};
use std::{io, time::Duration};
use tokio::{
    io::{AsyncBufRead, AsyncBufReadExt, AsyncWrite, AsyncWriteExt},
    time::timeout,
};

/// The status for a request that expects another server.
pub(crate) const MISDIRECTED: u16 = 421;
/// The status for a request that is shed.
pub(crate) const SHED: u16 = 503;

/// The refusals of one connection.
#[derive(Debug, Default)]
pub(crate) struct RefusalLog {
    /// Number of requests so far.
    requests: u64,
    /// Refusals of which a copy is still to be written.
    copies: String,
    /// The time after which the copies are written on the idle connection.
    idle: Option<Duration>,
}

impl RefusalLog {
    /// The status with which the next request is refused; absent if it runs.
    pub(crate) fn next_refusal(
        &mut self,
        script: &BackendScript,
        request: &SeenRequest,
    ) -> Option<u16> {
        let number = self.requests;
        self.requests += 1;
        if is_misdirected(script, request) {
            return Some(MISDIRECTED);
        }
        let is_shed = match script.fault {
            BackendFault::NotRun => true,
            BackendFault::RepeatedRefusal => self.copies.is_empty(),
            BackendFault::CopiedRefusals(copies) => copies.sheds(number),
            _ => false,
        };
        is_shed.then_some(SHED)
    }

    /// Waits for the first byte of a request, and writes the copies if it takes too long to come.
    pub(crate) async fn wait_request<R, W>(
        &mut self,
        reader: &mut R,
        writer: &mut W,
    ) -> io::Result<()>
    where
        R: AsyncBufRead + Unpin,
        W: AsyncWrite + Unpin,
    {
        let Some(idle) = self.idle.take() else {
            return Ok(());
        };
        if timeout(idle, reader.fill_buf()).await.is_err() {
            self.write_copies(writer).await?;
        }
        Ok(())
    }

    /// Writes the copies that precede an answer, and notes the refusal of `subject`. The wait before
    /// the answer is over when copies that are due with it are written.
    pub(crate) async fn precede_answer<W>(
        &mut self,
        writer: &mut W,
        script: &mut BackendScript,
        subject: &AnswerSubject,
    ) -> io::Result<()>
    where
        W: AsyncWrite + Unpin,
    {
        match script.fault {
            BackendFault::RepeatedRefusal => self.write_copies(writer).await?,
            BackendFault::CopiedRefusals(copies) => {
                pause(script.delay()).await;
                script.delay_ms = 0;
                self.write_copies(writer).await?;
                self.idle = copies.idle().filter(|_| subject.refusal.is_some());
            }
            _ => return Ok(()),
        }
        if let Some(status) = subject.refusal {
            self.copies = refusal_answer(status, script, subject);
        }
        Ok(())
    }

    async fn write_copies<W>(&mut self, writer: &mut W) -> io::Result<()>
    where
        W: AsyncWrite + Unpin,
    {
        let copies = std::mem::take(&mut self.copies);
        writer.write_all(copies.as_bytes()).await
    }
}

/// Whether a request names another server than this one.
fn is_misdirected(script: &BackendScript, request: &SeenRequest) -> bool {
    let expected = request.header(&script.instance_header);
    let instance = script.instance.as_deref();
    instance.is_some() && expected.is_some() && instance != expected
}
