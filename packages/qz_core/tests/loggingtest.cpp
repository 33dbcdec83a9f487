// Tests of the bounds on log lines.
#include "qz_core/logging/lineoutput.h"
#include "qz_core/logging/loglimiter.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace std::chrono_literals;

namespace {

struct Pipe
{
    Pipe() { BOOST_REQUIRE(pipe(ends_) == 0); }
    ~Pipe()
    {
        close(ends_[0]);
        close(ends_[1]);
    }

    std::string read() const
    {
        std::string text(1UL << 20U, '\0');
        const ssize_t size = ::read(ends_[0], text.data(), text.size());
        text.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
        return text;
    }

    int ends_[2] = {};
};

} // namespace

BOOST_AUTO_TEST_CASE(linesOfAnEventAreBoundedAndTheOthersCounted)
{
    qz::LogLimiter limiter(3);
    const qz::TimePoint start{ 1h };
    int written = 0;
    for (int i = 0; i < 10; ++i) {
        written += limiter.admit("request-failed", start) ? 1 : 0;
    }
    BOOST_TEST(written == 3);
    BOOST_TEST(limiter.admit("server-held", start));
    BOOST_TEST(!limiter.takeLeftOut(start).has_value());
    const auto leftOut = limiter.takeLeftOut(start + 1s);
    BOOST_REQUIRE(leftOut.has_value());
    BOOST_TEST(leftOut->event_ == "request-failed");
    BOOST_TEST(leftOut->count_ == 7);
    BOOST_TEST(!limiter.takeLeftOut(start + 1s).has_value());
    BOOST_TEST(limiter.admit("request-failed", start + 1s));
}

BOOST_AUTO_TEST_CASE(aReaderThatDoesNotReadDelaysNobodyAndLinesStayWhole)
{
    const Pipe pipe;
    qz::LineOutput output(pipe.ends_[1]);
    const std::string line(5000, 'x');
    for (int i = 0; i < 1000; ++i) {
        output.write(line);
    }
    BOOST_TEST(output.takeDropped() > 900);
    std::string all = pipe.read();
    output.write("after");
    all += pipe.read();
    const std::size_t at = all.find("after\n");
    BOOST_REQUIRE(at != std::string::npos);
    BOOST_TEST(at % (line.size() + 1) == 0); // Only whole lines stand before it.
}

BOOST_AUTO_TEST_CASE(aReaderThatIsGoneDelaysNobody)
{
    std::signal(SIGPIPE, SIG_IGN);
    Pipe pipe;
    close(pipe.ends_[0]);
    qz::LineOutput output(pipe.ends_[1]);
    output.write("line");
    BOOST_TEST(output.takeDropped() == 1);
    pipe.ends_[0] = dup(pipe.ends_[1]);
}
