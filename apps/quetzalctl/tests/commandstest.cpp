// Tests of quetzalctl's commands against an HTTP server that plays an instance.
#include "commands.h"

#include "qz_http/server/httpserver.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>
#include <thread>

using namespace std::chrono_literals;

namespace {

/// Answers as many requests as it was given answers for, and keeps the requests.
class FakeInstance
{
public:
    explicit FakeInstance(std::vector<qz::HttpResponse> answers)
        : answers_(std::move(answers))
        , server_(loop_, qz::HttpServerLimits{},
                  [this](const std::shared_ptr<qz::HttpExchange> &exchange) { serve(*exchange); })
    {
        while (!server_.listen(endpoint_)) {
            ++endpoint_.port_;
        }
        thread_ = std::thread([this] { loop_.runFor(20s); });
    }
    FakeInstance(const FakeInstance &) = delete;
    FakeInstance &operator=(const FakeInstance &) = delete;
    ~FakeInstance() { join(); }

    /// Waits for the last answer.
    const std::vector<qz::HttpRequest> &join()
    {
        if (thread_.joinable()) {
            thread_.join();
        }
        return requests_;
    }

    qz::OperatorClientSettings settings() const { return { endpoint_, 5s, "secret" }; }

private:
    void serve(qz::HttpExchange &exchange)
    {
        const qz::HttpResponse &answer = answers_[requests_.size()];
        requests_.push_back(exchange.request());
        answer.status_ == 0 ? exchange.abort() : exchange.reply(answer);
        if (requests_.size() == answers_.size()) {
            stop_ = loop_.callAfter(50ms, [this] { loop_.stop(); });
        }
    }

    std::vector<qz::HttpResponse> answers_;
    std::vector<qz::HttpRequest> requests_;
    qz::Endpoint endpoint_{ "127.0.0.1", 28711 };
    qz::EventLoop loop_;
    qz::HttpServer server_;
    qz::Timers::HandlePtr stop_;
    std::thread thread_;
};

std::string exampleFile()
{
    return std::string(QZ_EXAMPLE_RULES_DIR) + "/nakhla.json";
}

qz::HttpResponse makeRules(const std::string &version)
{
    std::ostringstream text;
    text << std::ifstream(exampleFile()).rdbuf();
    qz::HttpResponse response;
    response.headers_.add("ETag", "\"" + version + "\"");
    response.body_ = text.str();
    return response;
}

qz::HttpResponse makeAnswer(int status, const std::string &body)
{
    qz::HttpResponse response;
    response.status_ = status;
    response.body_ = body;
    return response;
}

const qz::HttpResponse lost = makeAnswer(0, "");
const qz::HttpResponse conflict =
        makeAnswer(409, R"({"error": "rules-conflict", "message": "look at version 8"})");
const qz::HttpResponse published = makeAnswer(200, R"({"version": 9})");

} // namespace

BOOST_AUTO_TEST_CASE(drainIsALabelChangeOnTheVersionThatWasRead)
{
    FakeInstance instance({ makeRules("7"), conflict, makeRules("8"), published });
    const qz::OperatorClient client(instance.settings());
    const auto code = qz::Commands(client, qz::Output(true)).setDrain("orders-3", true, "ana");
    BOOST_TEST((code == qz::ExitCode::Ok));
    const auto &requests = instance.join();
    BOOST_TEST(requests[3].headers_.find("If-Match").value() == "\"8\"");
    BOOST_TEST(requests[3].headers_.find("Authorization").value() == "Bearer secret");
    auto document = nlohmann::json::parse(requests[3].body_);
    BOOST_TEST(document["backend_servers"].back()["name"] == "orders-3");
    BOOST_TEST(document["backend_servers"].back()["labels"]["drain"] == "true");
    document["backend_servers"].erase(document["backend_servers"].size() - 1);
    BOOST_TEST((document == nlohmann::json::parse(makeRules("7").body_)));
}

BOOST_AUTO_TEST_CASE(aPutWhoseAnswerIsLostIsMadeAgainAsTheSameAttempt)
{
    FakeInstance instance({ lost, published });
    const qz::OperatorClient client(instance.settings());
    const auto code = qz::Commands(client, qz::Output(true)).putRules(exampleFile(), "8", "ana");
    BOOST_TEST((code == qz::ExitCode::Ok));
    const auto &requests = instance.join();
    BOOST_TEST(requests[0].headers_.find("Idempotency-Key").value()
               == requests[1].headers_.find("Idempotency-Key").value());
}

BOOST_AUTO_TEST_CASE(anAttemptThatMayHaveBeenMadeIsNotCalledUnchanged)
{
    const auto away = makeAnswer(503, R"({"error": "store-unavailable", "message": "away"})");
    for (const auto &last : { lost, away }) {
        FakeInstance instance({ lost, lost, last });
        const qz::OperatorClient client(instance.settings());
        const auto code =
                qz::Commands(client, qz::Output(true)).putRules(exampleFile(), "8", "ana");
        BOOST_TEST((code == qz::ExitCode::OutcomeUnknown));
    }
}

BOOST_AUTO_TEST_CASE(eachErrorHasItsExitCode)
{
    FakeInstance instance({ conflict });
    const qz::OperatorClient client(instance.settings());
    const qz::Output output(true);
    const qz::Commands commands(client, output);
    BOOST_TEST((commands.putRules(exampleFile(), "7", "ana") == qz::ExitCode::Conflict));
    instance.join();
    const qz::OperatorClient nobody({ qz::Endpoint{ "127.0.0.1", 1 }, 1s, "secret" });
    BOOST_TEST((qz::Commands(nobody, output).putRules(exampleFile(), "7", "ana")
                == qz::ExitCode::Unavailable));
    BOOST_TEST((qz::checkRules("/nowhere.json", output) == qz::ExitCode::Usage));
    BOOST_TEST((qz::checkRules(exampleFile(), output) == qz::ExitCode::Ok));
}
