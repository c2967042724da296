//! Client side of one HTTP/1.1 connection.

use crate::{http_stream::HttpStream, prelude::*};
use hyper::client::conn::http1::{self, SendRequest};

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Open client connection; dropping it closes the socket.
pub struct HttpConnection {
    sender: SendRequest<MessageBody>,
    _driver: async_executor::Task<()>,
}

impl HttpConnection {
    /// Connects to `address` within `timeout`.
    pub async fn open(
        pool: &WorkerPool,
        dialer: &TcpDialer,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, ExchangeError> {
        let not_sent = |error: &dyn Display| ExchangeError::NotSent(format!("{address}: {error}"));
        let stream = match dialer.connect(address, timeout).await {
            Ok(stream) => stream,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ExchangeError::ConnectionRefused(address.to_string()));
            }
            Err(error) => return Err(not_sent(&error)),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(HttpStream::from(stream))
            .await
            .map_err(|error| not_sent(&error))?;
        let driver = pool.spawn_cancellable(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            _driver: driver,
        })
    }

    /// Whether the connection can carry another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends one request and reads the complete answer, at most `max_answer_bytes` bytes of body.
    pub async fn exchange(
        &mut self,
        request: Request<impl Into<MessageBody>>,
        max_answer_bytes: usize,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let budget = MemoryBudget::new(usize::MAX);
        let answer = self.exchange_within_budget(request, max_answer_bytes, &budget);
        Ok(answer.await?.map(|body| body.into_bytes()))
    }

    /// Like [`Self::exchange`], for an answer that shares `budget` with others.
    pub async fn exchange_within_budget(
        &mut self,
        request: Request<impl Into<MessageBody>>,
        max_answer_bytes: usize,
        budget: &Arc<MemoryBudget>,
    ) -> Result<Response<StoredBody>, ExchangeError> {
        let progress = TransferProgress::default();
        self.exchange_tracked(request, max_answer_bytes, budget, &progress)
            .await
    }

    /// Like [`Self::exchange_within_budget`], and records in `progress` how much of the answer's body
    /// has arrived.
    pub async fn exchange_tracked(
        &mut self,
        request: Request<impl Into<MessageBody>>,
        max_answer_bytes: usize,
        budget: &Arc<MemoryBudget>,
        progress: &TransferProgress,
    ) -> Result<Response<StoredBody>, ExchangeError> {
        let request = request.map(Into::into);
        if let Err(error) = self.sender.ready().await {
            return Err(ExchangeError::NotSent(error.to_string()));
        }
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                return Err(match unsent {
                    true => ExchangeError::NotSent(error.to_string()),
                    false => unanswered(&error),
                });
            }
        };
        let (head, mut body) = response.into_parts();
        let announced = announced_bytes(&body);
        let mut writer = BodyWriter::answer(budget, announced, SteadyClock.now());
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| unanswered(&error))?;
            let Some(piece) = frame.data_ref() else {
                continue;
            };
            let is_too_long = writer.stored_bytes() + piece.len() > max_answer_bytes;
            if is_too_long || writer.push(piece, SteadyClock.now()).is_err() {
                return Err(ExchangeError::AnswerTooLarge(head.headers.into()));
            }
            progress.record(writer.stored_bytes());
        }
        match writer.finish() {
            Ok(body) => Ok(Response::from_parts(head, body)),
            Err(_) => Err(ExchangeError::AnswerTooLarge(head.headers.into())),
        }
    }
}

/// Error of a request that was sent and has no complete answer.
fn unanswered(error: &hyper::Error) -> ExchangeError {
    match error.is_parse() {
        true => ExchangeError::Unclear(error.to_string()),
        false => ExchangeError::ConnectionLost(error.to_string()),
    }
}
