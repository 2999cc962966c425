#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

namespace {

/// Longer than what two sockets hold, so that sending it does not complete
/// before the server reads.
constexpr std::size_t kUploadBytes = 16UL * 1000 * 1000;
/// Receive buffer of the server.
constexpr int kReceiveBufferBytes = 64 * 1000;

/// How a server ends the connection of an early answer.
enum class Ending
{
  Reset,              ///< Without an orderly end.
  ResetAtOnce,        ///< Together with the answer.
  Close,              ///< In order; the rest of the upload is read.
  CloseThenReset,     ///< In order; the reset follows.
  CloseAndResetAtOnce ///< In order; both together with the answer.
};

/// A backend server that answers a long upload before it has read all of it,
/// and then ends the connection. Short requests get a complete answer on a
/// connection that stays open. `$ID` is replaced by the attempt ID.
class EarlyServer
{
public:
  EarlyServer(Loop& aLoop, std::string aAnswer, Ending aEnding)
    : mLoop(aLoop)
    , mAnswer(std::move(aAnswer))
    , mEnding(aEnding)
    , mAcceptor(aLoop.context())
  {
    mAcceptor.open(tcp::v4());
    mAcceptor.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    mAcceptor.bind({ asio::ip::address_v4::loopback(), 0 });
    mAcceptor.listen();
    mLoop.spawn(accept());
  }

  contract::Address address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  std::size_t bytesReadFirst = 0; ///< Of the upload, before the answer.
  int connections = 0;
  int uploads = 0;
  int uploadsOnKept = 0;   ///< On a connection that had carried a request.
  std::string lastEventId; ///< Of the last upload.

private:
  asio::awaitable<void> accept()
  {
    for (;;) {
      Socket socket = co_await mAcceptor.async_accept(use_awaitable);
      ++connections;
      mLoop.spawn(serve(std::move(socket)));
    }
  }

  asio::awaitable<void> serve(Socket aSocket)
  {
    http::beast::flat_buffer buffer;
    boost::system::error_code error;
    for (bool isKept = false;; isKept = true) {
      bhttp::request_parser<bhttp::buffer_body> parser;
      parser.body_limit(2 * kUploadBytes);
      co_await bhttp::async_read_header(
        aSocket, buffer, parser, redirect_error(use_awaitable, error));
      if (error) {
        co_return;
      }
      const std::string id(parser.get()["Laburnum-Attempt"]);
      if (parser.content_length().value_or(0) < kUploadBytes) {
        const std::string text =
          withAttemptId(response(200, kSignatureField, "short"), id);
        co_await asio::async_write(
          aSocket, asio::buffer(text), redirect_error(use_awaitable, error));
        continue;
      }
      ++uploads;
      uploadsOnKept += isKept ? 1 : 0;
      lastEventId = parser.get()["Last-Event-Id"];
      std::string part(bytesReadFirst - std::min(bytesReadFirst, buffer.size()),
                       ' ');
      co_await asio::async_read(
        aSocket, asio::buffer(part), redirect_error(use_awaitable, error));
      const std::string text = withAttemptId(mAnswer, id);
      // The gateway, in the same thread, does not run within this statement, so
      // that what ends the connection at once arrives with the answer.
      asio::write(aSocket, asio::buffer(text), error);
      co_await end(std::move(aSocket));
      co_return;
    }
  }

  asio::awaitable<void> end(Socket aSocket)
  {
    const bool isInOrder =
      mEnding != Ending::Reset && mEnding != Ending::ResetAtOnce;
    const bool isAtOnce =
      mEnding == Ending::ResetAtOnce || mEnding == Ending::CloseAndResetAtOnce;
    boost::system::error_code error;
    if (isInOrder) {
      aSocket.shutdown(tcp::socket::shutdown_send, error);
    }
    if (!isAtOnce) {
      co_await mLoop.sleep(milliseconds(20));
    }
    if (mEnding == Ending::Close) {
      std::string rest(kReceiveBufferBytes, ' ');
      while (!error) {
        co_await aSocket.async_read_some(asio::buffer(rest),
                                         redirect_error(use_awaitable, error));
      }
    } else {
      aSocket.set_option(asio::socket_base::linger(true, 0), error);
    }
    aSocket.close(error);
  }

  Loop& mLoop;
  std::string mAnswer;
  Ending mEnding;
  asio::basic_socket_acceptor<tcp, http::Executor> mAcceptor;
};

/// A gateway with the early server in place of the first or second scripted
/// one, and a client that uploads.
struct UploadFixture : GatewayFixture
{
  UploadFixture(std::vector<std::vector<std::string>> aServers,
                std::string aAnswer,
                Ending aEnding,
                std::size_t aPlace = 0)
    : GatewayFixture(std::move(aServers))
    , early(loop, std::move(aAnswer), aEnding)
  {
    Configuration configuration = *gateway.context().configuration;
    configuration.version = 2;
    configuration.limits.bodyBytes = 2 * kUploadBytes;
    gateway.applyConfiguration(std::move(configuration));
    auto all = records();
    all[aPlace].address = early.address();
    gateway.replaceServers(all);
  }

  std::string upload(std::string_view aPath)
  {
    return request("POST", aPath, "", std::string(kUploadBytes, 'u'));
  }

  EarlyServer early;
};

const std::string kHeadWithoutLength =
  "HTTP/1.1 200 OK\r\nLaburnum-Attempt: $ID\r\n" + kSignatureField;
const std::string kFirstEvent = "id: 1\ndata: a\n\n";
const std::string kSecondEvent = "id: 2\ndata: b\n\n";

std::string
eventsWithoutLength(std::string_view aEvents)
{
  return kHeadWithoutLength + "Content-Type: text/event-stream\r\n\r\n" +
         std::string(aEvents);
}

} // namespace

// Guards against MIXED: a server answers a long upload at once and resets the
// connection while the upload is still being written. Its answer was passed on
// as far as it had come.
TEST_CASE("gateway_serverResetsDuringUpload_partIsNoAnswer")
{
  const auto ending = GENERATE(Ending::Reset, Ending::ResetAtOnce);
  const std::string body = GENERATE("", "spoiled", "spoiled and whole");
  const std::string framing = GENERATE("",
                                       "Connection: close\r\n",
                                       "Content-Length: 1000\r\n",
                                       "Transfer-Encoding: chunked\r\n");
  const bool isKept = GENERATE(false, true);
  CAPTURE(ending, body, framing, isKept);
  std::string answer = kHeadWithoutLength + framing + "\r\n";
  answer +=
    framing.starts_with("Transfer") && !body.empty() ? chunk(body) : body;
  const std::string good = response(200, kSignatureField, "body");

  UploadFixture safe({ { "" }, { good } }, answer, ending);
  if (isKept) {
    CHECK(safe.request("GET", "/safe/x").ends_with("\r\n\r\nshort"));
  }
  const std::string received = safe.upload("/safe/x");
  CHECK(statusOf(received) == 200);
  CHECK(received.ends_with("\r\n\r\nbody"));
  CHECK(received.find("spoiled") == std::string::npos);
  CHECK(safe.early.uploads == 1);
  CHECK(safe.early.uploadsOnKept == (isKept ? 1 : 0));
  CHECK(safe.servers[1]->requests.size() == 1);

  UploadFixture once({ { "" }, { good } }, answer, ending);
  if (isKept) {
    CHECK(once.request("GET", "/safe/x").ends_with("\r\n\r\nshort"));
  }
  const std::string failed = once.upload("/once/x");
  CHECK(statusOf(failed) == 502);
  CHECK(failed.find("\"may_have_run\"") != std::string::npos);
  CHECK(failed.find("spoiled") == std::string::npos);
  CHECK(once.early.uploads == 1);
  CHECK(once.early.uploadsOnKept == 0);
  CHECK(once.servers[1]->requests.empty());
}

// The same where the server has read some of the upload, or all of it: then the
// read reports the reset.
TEST_CASE("gateway_serverResetsAfterPartOfUpload_partIsNoAnswer")
{
  const auto ending = GENERATE(Ending::Reset, Ending::ResetAtOnce);
  const std::size_t bytesRead =
    GENERATE(std::size_t{ 1000 }, kUploadBytes / 2, kUploadBytes);
  CAPTURE(ending, bytesRead);
  UploadFixture fixture({ { "" } }, kHeadWithoutLength + "\r\nspoiled", ending);
  fixture.early.bytesReadFirst = bytesRead;
  const std::string failed = fixture.upload("/once/x");
  CHECK(statusOf(failed) == 502);
  CHECK(failed.find("spoiled") == std::string::npos);
  CHECK(fixture.early.uploads == 1);
}

TEST_CASE("gateway_serverResetsStreamDuringUpload_streamIsNotComplete")
{
  const auto ending = GENERATE(Ending::Reset, Ending::ResetAtOnce);
  const std::string events =
    GENERATE_REF(as<std::string>{}, "", kFirstEvent, kFirstEvent + "id: 2\nda");
  CAPTURE(ending, events);
  const std::string answer = eventsWithoutLength(events);

  UploadFixture alone({ { "" } }, answer, ending);
  CHECK_FALSE(alone.upload("/events/x").ends_with("0\r\n\r\n"));

  const std::string rest =
    kEventStreamHead +
    (events.empty() ? chunk(kFirstEvent + kSecondEvent) : chunk(kSecondEvent)) +
    "0\r\n\r\n";
  UploadFixture begun({ { "" }, { rest } }, answer, ending);
  const std::string received = begun.upload("/events/x");
  REQUIRE(begun.servers[1]->requests.size() == 1);
  CHECK(begun.servers[1]->requests[0]["Last-Event-Id"] ==
        (events.empty() ? "" : "1"));
  CHECK(begun.early.uploads == 1);
  CHECK(received.find(kSecondEvent) != std::string::npos);
  CHECK(received.ends_with("0\r\n\r\n"));

  // The stream was begun by another server and is resumed at the early one.
  const std::string broken =
    kEventStreamHead + chunk("id: 0\ndata: z\n\nid: 1\nda");
  UploadFixture resumed({ { broken }, { "" } }, answer, ending, 1);
  const std::string brokenOff = resumed.upload("/events/x");
  CHECK(resumed.early.lastEventId == "0");
  CHECK(brokenOff.find("data: z\n") != std::string::npos);
  CHECK_FALSE(brokenOff.ends_with("0\r\n\r\n"));
}

// The other side: an answer without a length that ends in order is whole, also
// if a reset follows; one with a length or in chunks is whole by itself.
TEST_CASE("gateway_wholeAnswerDuringUpload_isPassedOn")
{
  struct Row
  {
    std::string framing;
    std::string body;
  };
  const Row row = GENERATE(values<Row>(
    { { "", "body" },
      { "Connection: close\r\n", "body" },
      { "Content-Length: 4\r\n", "body" },
      { "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n" } }));
  const auto ending = GENERATE(Ending::Close,
                               Ending::CloseThenReset,
                               Ending::CloseAndResetAtOnce,
                               Ending::Reset,
                               Ending::ResetAtOnce);
  const std::string path = GENERATE("/safe/", "/once/");
  CAPTURE(row.framing, ending, path);
  const bool endsWithConnection =
    row.framing.empty() || row.framing.starts_with("Connection");
  if (endsWithConnection &&
      (ending == Ending::Reset || ending == Ending::ResetAtOnce)) {
    return;
  }
  UploadFixture fixture(
    { { "" } }, kHeadWithoutLength + row.framing + "\r\n" + row.body, ending);
  const std::string received = fixture.upload(path);
  CHECK(statusOf(received) == 200);
  CHECK(received.ends_with("\r\n\r\nbody"));
  CHECK(fixture.early.uploads == 1);
  // The server has not read all of the upload, or has closed.
  CHECK(statusOf(fixture.request("GET", path)) == 200);
  CHECK(fixture.early.connections == 2);
}

TEST_CASE("gateway_wholeStreamDuringUpload_isPassedOn")
{
  const auto ending = GENERATE(
    Ending::Close, Ending::CloseThenReset, Ending::CloseAndResetAtOnce);
  CAPTURE(ending);
  const std::string answer = eventsWithoutLength(kFirstEvent + kSecondEvent);
  UploadFixture begun({ { "" }, { "" } }, answer, ending);
  const std::string received = begun.upload("/events/x");
  CHECK(received.find(kFirstEvent) != std::string::npos);
  CHECK(received.find(kSecondEvent) != std::string::npos);
  CHECK(received.ends_with("0\r\n\r\n"));
  CHECK(begun.servers[1]->requests.empty());

  const std::string broken =
    kEventStreamHead + chunk("id: 0\ndata: z\n\nid: 1\nda");
  UploadFixture resumed({ { broken }, { "" } }, answer, ending, 1);
  const std::string completed = resumed.upload("/events/x");
  CHECK(resumed.early.lastEventId == "0");
  CHECK(completed.find(kSecondEvent) != std::string::npos);
  CHECK(completed.ends_with("0\r\n\r\n"));
}
