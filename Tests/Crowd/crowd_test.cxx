#include <gtest/gtest.h>

#include <functional>
#include <thread>

#include <boost/asio.hpp>

#include "Crowd/small_deployment.h"

namespace mango::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t writeBytes = 32U << 10U;
// How long a crowd that has sent everything stays, so that its requests are being served.
constexpr auto servingTime = std::chrono::seconds(1);
// Ends a crowd whose connections make no progress any more.
constexpr auto crowdTime = std::chrono::seconds(20);

// What one client of a crowd sends: a head, then text that is repeated, up to a number of bytes.
// It neither reads nor closes its connection.
struct crowd_plan
{
    std::string head;
    std::string repeated;
    std::size_t bytes = 0;
    std::size_t clients = 0;
};

// The clients of one crowd, whose connections stay open for as long as the crowd exists.
class crowd
{
public:
    crowd(const host_address &server, const crowd_plan &plan)
        : m_endpoint(asio::ip::make_address(server.ip), server.port)
        , m_plan(plan)
    {
        while (m_plan.repeated.size() < writeBytes && !m_plan.repeated.empty()) {
            m_plan.repeated += plan.repeated;
        }
        for (std::size_t number = 0; number < plan.clients; ++number) {
            m_clients.push_back(std::make_unique<client>(tcp::socket(m_context), plan.bytes));
            begin(*m_clients.back());
        }
        m_context.run_for(crowdTime);
    }

private:
    struct client
    {
        client(tcp::socket connection, std::size_t bytes)
            : socket(std::move(connection))
            , left(bytes)
        {}
        tcp::socket socket;
        std::size_t left;
    };

    void begin(client &one)
    {
        one.socket.async_connect(m_endpoint, [this, &one](boost::system::error_code error) {
            if (!error) {
                asio::async_write(one.socket, asio::buffer(m_plan.head),
                                  [this, &one](boost::system::error_code failed, std::size_t) {
                                      if (!failed) {
                                          sendMore(one);
                                      }
                                  });
            }
        });
    }

    void sendMore(client &one)
    {
        const std::size_t count = std::min(one.left, m_plan.repeated.size());
        if (count == 0) {
            return;
        }
        one.left -= count;
        asio::async_write(one.socket, asio::buffer(m_plan.repeated.data(), count),
                          [this, &one](boost::system::error_code error, std::size_t) {
                              if (!error) {
                                  sendMore(one);
                              }
                          });
    }

    tcp::endpoint m_endpoint;
    crowd_plan m_plan;
    asio::io_context m_context;
    std::vector<std::unique_ptr<client>> m_clients;
};

std::string chunkedHead(const std::string &line)
{
    return line + " HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n";
}

// Each test is played at the door of the callers and at that of workers and operators.
enum class door : std::uint8_t { callers, control };

class crowds : public testing::TestWithParam<door>
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(deployment.start()) << deployment.logs();
    }

    [[nodiscard]] host_address server() const
    {
        return GetParam() == door::callers ? deployment.callers : deployment.control;
    }
    [[nodiscard]] static std::string requestLine()
    {
        return GetParam() == door::callers ? "POST /jobs/00000000000000ff" : "PUT /config";
    }

    // Both processes live within what their machines have, and serve others beside the crowd.
    void expectBoundsAndService()
    {
        EXPECT_TRUE(deployment.bothRun());
        EXPECT_EQ(deployment.submitJob(), 200U);
        EXPECT_EQ(deployment.readConfiguration(), 200U);
        for (const char *process : {"edge", "control"}) {
            EXPECT_LE(deployment.peakMemoryMb(process), small_deployment::limits.memoryMb)
                    << process;
            EXPECT_LE(deployment.openDescriptors(process), small_deployment::limits.descriptors)
                    << process;
        }
    }

    void play(const crowd_plan &plan)
    {
        const crowd clients(server(), plan);
        expectBoundsAndService();
    }

    small_deployment deployment;
};

} // namespace

// Trailers were collected without a bound until the last one was read.
TEST_P(crowds, sendTrailersWithoutEnd)
{
    play({chunkedHead(requestLine()) + "0\r\n", "X-T: 0123456789\r\n", 16U << 20U, 8});
}

TEST_P(crowds, sendOneTrailerWithoutEnd)
{
    play({chunkedHead(requestLine()) + "0\r\nX-T: ", std::string(1024, 'x'), 16U << 20U, 8});
}

TEST_P(crowds, sendChunkExtensionsWithoutEnd)
{
    play({chunkedHead(requestLine()) + "5;x=", std::string(1024, 'x'), 16U << 20U, 8});
}

TEST_P(crowds, announceBodiesFarOverTheLimit)
{
    play({requestLine() + " HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100000000000\r\n\r\n",
          std::string(1024, 'x'), 16U << 20U, 50});
}

TEST_P(crowds, sendBodiesFarOverTheLimit)
{
    play({chunkedHead(requestLine()), "400\r\n" + std::string(1024, 'x') + "\r\n", 16U << 20U, 50});
}

// Bodies within the limit whose last bytes never come were all kept.
TEST_P(crowds, leaveLargeChunksOpen)
{
    const std::string chunk = "c800\r\n" + std::string(0xc800, 'x') + "\r\n";
    play({chunkedHead(requestLine()), chunk, 4 * chunk.size() + 50'000, 500});
}

TEST_P(crowds, leaveSmallChunksOpen)
{
    const std::string chunk = "a\r\n0123456789\r\n";
    play({chunkedHead(requestLine()), chunk, 25'000 * chunk.size() + 3, 500});
}

// Bodies within the limit, whose steps take many times the memory of their text, were counted by
// their text.
TEST_P(crowds, sendBodiesOfSmallSteps)
{
    // Without its answers, the edge keeps all requests that it has passed on.
    deployment.suspendControl(GetParam() == door::callers);
    for (const std::size_t steps : {87'000U, 20'000U}) {
        const std::string step = steps > 20'000 ? "{}" : R"({"count":1})";
        std::string body = R"({"spec":"s","steps":[)" + step;
        for (std::size_t number = 1; number < steps; ++number) {
            body += "," + step;
        }
        body += "]}";
        const crowd clients(server(),
                            {requestLine() + " HTTP/1.1\r\nHost: h.example\r\nContent-Length: "
                                     + std::to_string(body.size()) + "\r\n\r\n" + body,
                             "", 0, 30});
        std::this_thread::sleep_for(servingTime);
    }
    deployment.suspendControl(false);
    expectBoundsAndService();
}

// Connections beyond the descriptors of the process kept it from its other work.
TEST_P(crowds, openConnectionsBeyondTheDescriptors)
{
    play({requestLine() + " HTTP/1.1\r\nHost: h", "", 0, 900});
}

// Responses were kept for all clients that did not read theirs.
TEST_P(crowds, doNotReadTheirResponses)
{
    play({"", "GET /config HTTP/1.1\r\nHost: h.example\r\n\r\n", 1U << 20U, 400});
}

// A single request as large as the limits allow is served.
TEST_P(crowds, leaveASingleLargeRequestServed)
{
    std::string body = R"({"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":10,"pad":")";
    body += std::string(small_deployment::bodyLimit - body.size() - 4, 'x') + "\"}]}";
    std::string chunks;
    for (std::size_t at = 0; at < body.size(); at += 10) {
        const std::string part = body.substr(at, 10);
        chunks += (part.size() == 10 ? "a" : std::to_string(part.size())) + "\r\n" + part + "\r\n";
    }
    chunks += "0\r\n\r\n";
    EXPECT_EQ(statusOfRequest(deployment.callers, "POST /jobs/00000000000000aa HTTP/1.1\r\n"
                                                  "Host: h.example\r\nConnection: close\r\n"
                                                  "Transfer-Encoding: chunked\r\n\r\n"
                                                          + chunks),
              200U);
    EXPECT_EQ(statusOfRequest(deployment.callers,
                              "POST /jobs/00000000000000ab HTTP/1.1\r\nHost: h.example\r\n"
                              "Connection: close\r\nContent-Length: "
                                      + std::to_string(body.size()) + "\r\n\r\n" + body),
              200U);
    expectBoundsAndService();
}

INSTANTIATE_TEST_SUITE_P(at, crowds, testing::Values(door::callers, door::control),
                         [](const testing::TestParamInfo<door> &tested) {
                             return tested.param == door::callers ? "callers" : "control";
                         });

} // namespace mango::test
