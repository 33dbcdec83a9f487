// A seeded comparison of the parser with a strict reader of heads that is written from RFC 9112
// alone.
//
// Heads of requests and answers are drawn from a grammar with faults in it. What the parser takes
// must be what the reader reads, field by field and with the same length of the body; all else must
// be refused by both. QZ_FUZZ_SECONDS lengthens the run.
#include "qz_http/stream/httpstreamparser.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace {

constexpr std::uint64_t seed = 40'001;
constexpr std::chrono::seconds defaultLength(3);
constexpr std::size_t headLimit = 16384;

/// A head as both readers report it.
struct ReadHead
{
    std::string start_; ///< Method and target, or status.
    std::vector<std::pair<std::string, std::string>> fields_;
    qz::BodyFraming framing_ = qz::BodyFraming::None;
    std::uint64_t length_ = 0;

    bool operator==(const ReadHead &other) const
    {
        return start_ == other.start_ && fields_ == other.fields_ && framing_ == other.framing_
                && length_ == other.length_;
    }
};

/// RFC 9112, sections 2 to 6: reads a whole head or nothing. Independent of the parser's code.
class StrictReader
{
public:
    static std::optional<ReadHead> read(const std::string &text, bool isRequest)
    {
        std::vector<std::string> lines;
        std::size_t at = 0;
        while (true) {
            const std::size_t end = text.find("\r\n", at);
            if (end == std::string::npos) {
                return std::nullopt;
            }
            if (end == at) {
                break; // The empty line.
            }
            lines.push_back(text.substr(at, end - at));
            at = end + 2;
        }
        if (lines.empty()) {
            return std::nullopt;
        }
        ReadHead head;
        bool isHttp11 = true;
        if (!readStart(lines[0], isRequest, head, isHttp11)) {
            return std::nullopt;
        }
        for (std::size_t i = 1; i < lines.size(); ++i) {
            if (!readField(lines[i], head)) {
                return std::nullopt;
            }
        }
        if (!readFraming(head, isRequest, isHttp11)) {
            return std::nullopt;
        }
        return head;
    }

private:
    static bool isTchar(char c)
    {
        const std::string others = "!#$%&'*+-.^_`|~";
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
                || others.find(c) != std::string::npos;
    }

    /// VCHAR, obs-text, blank or tab.
    static bool isText(char c)
    {
        const auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= 0x20 && byte != 0x7f);
    }

    template<typename Predicate>
    static bool isAll(const std::string &text, Predicate predicate)
    {
        for (const char c : text) {
            if (!predicate(c)) {
                return false;
            }
        }
        return true;
    }

    static bool isDigits(const std::string &text)
    {
        return !text.empty() && isAll(text, [](char c) { return c >= '0' && c <= '9'; });
    }

    static bool readVersion(const std::string &text, bool &isHttp11)
    {
        isHttp11 = text == "HTTP/1.1";
        return isHttp11 || text == "HTTP/1.0";
    }

    static bool readStart(const std::string &line, bool isRequest, ReadHead &head, bool &isHttp11)
    {
        const std::size_t first = line.find(' ');
        const std::size_t second = line.find(' ', first + 1);
        if (first == std::string::npos || second == std::string::npos) {
            return false;
        }
        const std::string left = line.substr(0, first);
        const std::string middle = line.substr(first + 1, second - first - 1);
        const std::string right = line.substr(second + 1);
        head.start_ = left + " " + middle;
        if (isRequest) {
            const auto isVisible = [](char c) { return isText(c) && c != ' ' && c != '\t'; };
            return !left.empty() && isAll(left, &isTchar) && !middle.empty()
                    && isAll(middle, isVisible) && readVersion(right, isHttp11);
        }
        head.start_ = middle;
        // A status below 100 or above 599 is none, and interim answers are read over.
        return readVersion(left, isHttp11) && middle.size() == 3 && isDigits(middle)
                && middle >= "200" && middle < "600" && isAll(right, &isText);
    }

    static bool readField(const std::string &line, ReadHead &head)
    {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos || colon == 0 || !isAll(line.substr(0, colon), &isTchar)) {
            return false;
        }
        std::string value = line.substr(colon + 1);
        if (!isAll(value, &isText)) {
            return false;
        }
        const auto isBlank = [](char c) { return c == ' ' || c == '\t'; };
        while (!value.empty() && isBlank(value.back())) {
            value.pop_back();
        }
        while (!value.empty() && isBlank(value.front())) {
            value.erase(0, 1);
        }
        head.fields_.emplace_back(line.substr(0, colon), value);
        return true;
    }

    static std::string lower(std::string text)
    {
        for (char &c : text) {
            c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        }
        return text;
    }

    static bool readFraming(ReadHead &head, bool isRequest, bool isHttp11)
    {
        std::vector<std::string> lengths;
        std::vector<std::string> codings;
        int hosts = 0;
        for (const auto &[name, value] : head.fields_) {
            const std::string known = lower(name);
            if (known == "content-length") {
                lengths.push_back(value);
            } else if (known == "transfer-encoding") {
                codings.push_back(lower(value));
            } else if (known == "host") {
                ++hosts;
            }
        }
        if (lengths.size() + codings.size() > 1 || (isRequest && hosts != 1)) {
            return false;
        }
        if (!lengths.empty()) {
            constexpr std::size_t mostDigits = 19; // Drawn numbers have fewer, or far more.
            if (!isDigits(lengths[0]) || lengths[0].size() > mostDigits) {
                return false;
            }
            head.framing_ = qz::BodyFraming::Length;
            head.length_ = std::stoull(lengths[0]);
        } else if (!codings.empty()) {
            if (codings[0] != "chunked" || !isHttp11) {
                return false;
            }
            head.framing_ = qz::BodyFraming::Chunked;
        } else if (!isRequest) {
            head.framing_ = qz::BodyFraming::UntilClose;
        }
        if (!isRequest && (head.start_ == "204" || head.start_ == "304")) {
            head.framing_ = qz::BodyFraming::None;
            head.length_ = 0;
        }
        return true;
    }
};

/// Keeps the head that a parser takes.
class Sink : public qz::HttpMessageSink
{
public:
    void takeHead(qz::HttpHead head) override { head_ = std::move(head); }
    void takeBody(std::string_view /*data*/) override { }
    void takeEnd() override { }

    std::optional<qz::HttpHead> head_;
};

std::optional<ReadHead> readByParser(const std::string &text, bool isRequest)
{
    Sink sink;
    qz::HttpStreamParser parser(isRequest ? qz::HttpRole::Request : qz::HttpRole::Response, sink,
                                headLimit);
    const auto consumed = parser.parse(text);
    if (consumed.has_error() || !sink.head_) {
        return std::nullopt;
    }
    ReadHead head;
    head.start_ = isRequest ? sink.head_->method_ + " " + sink.head_->target_
                            : std::to_string(sink.head_->status_);
    for (const qz::HttpHeader &field : sink.head_->headers_.all()) {
        head.fields_.emplace_back(field.name_, field.value_);
    }
    head.framing_ = sink.head_->framing_;
    head.length_ = sink.head_->length_;
    return head;
}

/// Collects a body.
class BodySink : public qz::HttpMessageSink
{
public:
    void takeHead(qz::HttpHead /*head*/) override { }
    void takeBody(std::string_view data) override { body_.append(data); }
    void takeEnd() override { hasEnded_ = true; }

    std::string body_;
    bool hasEnded_ = false;
};

/// Returns the body of an answer that has ended, or nothing if it was refused or is not whole.
/// Which of the two may depend on how many bytes are there.
std::optional<std::string> readAnswer(const std::string &text, std::size_t step)
{
    BodySink sink;
    qz::HttpStreamParser parser(qz::HttpRole::Response, sink, headLimit);
    std::string pending;
    for (std::size_t at = 0; at < text.size() && !parser.hasEnded(); at += step) {
        pending.append(text, at, step);
        const auto consumed = parser.parse(pending);
        if (consumed.has_error()) {
            return std::nullopt;
        }
        pending.erase(0, consumed.value());
    }
    return sink.hasEnded_ ? std::optional(sink.body_) : std::nullopt;
}

/// Draws heads, most of them with a fault or two.
class HeadSource
{
public:
    explicit HeadSource(std::uint64_t seed)
        : random_(seed)
    {
    }

    std::string draw(bool isRequest)
    {
        std::string text = isRequest ? pick("GET", "POST", "PUT", "X-OWN")
                        + pick(" ", " ", " ", "  ", "\t") + pick("/", "/a/b?c=%20", "/\x80", "*")
                        + pick(" ", " ", " ", "  ") + drawVersion()
                                     : drawVersion() + pick(" ", " ", " ", "  ")
                        + pick("200", "204", "503", "20", "2000", "000", "600") + pick(" ", " ", "")
                        + pick("OK", "", "No\tway", "\x01");
        text += drawLineEnd();
        if (isRequest && draws(0.95)) {
            text += "Host: h\r\n";
        }
        const int fields = static_cast<int>(random_() % 5);
        for (int i = 0; i < fields; ++i) {
            text += drawField();
        }
        text += "\r\n";
        if (draws(0.2)) {
            const std::size_t at = random_() % text.size();
            text[at] = static_cast<char>(random_());
        }
        return text;
    }

    /// Draws an answer in chunks, most of them with a fault.
    std::string drawChunks()
    {
        std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::size_t bodyBegin = text.size();
        for (std::size_t chunks = random_() % 4; chunks > 0; --chunks) {
            text += pick("3", "003", "3;a=b", "3 ;a", "3;a=\"\\\"\"") + "\r\nabc\r\n";
        }
        text += pick("0", "000", "0;x") + "\r\n" + pick("", "", "X: y\r\n", "X:\r\nY: z\r\n")
                + "\r\n";
        for (std::size_t faults = random_() % 3; faults > 0; --faults) {
            const std::size_t at = bodyBegin + random_() % (text.size() - bodyBegin);
            switch (random_() % 3) {
            case 0:
                text[at] = pick("\r", "\n", "0", "f", ";", " ", "\x01")[0];
                break;
            case 1:
                text.erase(at, 1);
                break;
            default:
                text.insert(at, pick("\r\n", "\r", "\n", "0", "ff", ";"));
            }
        }
        return text;
    }

    std::size_t drawStep() { return 1 + random_() % 9; }

private:
    template<typename... Texts>
    std::string pick(Texts... texts)
    {
        const std::array<std::string, sizeof...(texts)> all{ texts... };
        return all[random_() % all.size()];
    }

    bool draws(double share) { return std::bernoulli_distribution(share)(random_); }

    std::string drawVersion()
    {
        return draws(0.9) ? "HTTP/1.1"
                          : pick("HTTP/1.0", "HTTP/1.2", "HTTP/2.0", "http/1.1", "HTTP/11");
    }

    std::string drawLineEnd()
    {
        return draws(0.97) ? "\r\n" : pick("\n", "\r", "\r\r\n", "\r\n ", "\r\n\t");
    }

    std::string drawField()
    {
        const std::string name = pick("Content-Length", "content-length", "Transfer-Encoding",
                                      "TRANSFER-ENCODING", "X-Field", "Host", "X-Quetzal", "\"X\"");
        const std::string colon =
                draws(0.9) ? ":" : pick(" :", "\t:", "", "::", std::string(1, '\0') + ":");
        const std::string value =
                pick("5", "0", "chunked", "CHUNKED", "gzip", "5, 5", "+5", "0x5",
                     "99999999999999999999999", "v w", "", "\x7f", "a\x01z", "\xff");
        const std::string start = draws(0.95) ? "" : pick(" ", "\t", "\r\n");
        return start + name + colon + pick("", " ", "\t", "  ") + value + pick("", " ", "\t ")
                + drawLineEnd();
    }

    std::mt19937_64 random_;
};

std::chrono::seconds runLength()
{
    const char *text = std::getenv("QZ_FUZZ_SECONDS");
    return text == nullptr ? defaultLength : std::chrono::seconds(std::atoi(text));
}

} // namespace

// Guards against a head that the parser reads in another way than the next recipient.
BOOST_AUTO_TEST_CASE(headsAreReadAsTheStandardHasThemOrRefused)
{
    HeadSource source(seed);
    const auto end = std::chrono::steady_clock::now() + runLength();
    int heads = 0;
    int taken = 0;
    int differing = 0;
    while (std::chrono::steady_clock::now() < end && differing < 20) {
        const bool isRequest = heads % 2 == 0;
        const std::string drawn = source.draw(isRequest);
        const std::string text = drawn.substr(0, drawn.find("\r\n\r\n") + 4); // No body.
        const auto expected = StrictReader::read(text, isRequest);
        const auto read = readByParser(text, isRequest);
        ++heads;
        taken += read ? 1 : 0;
        if (read.has_value() != expected.has_value() || (read && !(*read == *expected))) {
            ++differing;
            BOOST_TEST_MESSAGE("differs: " << text);
            BOOST_ERROR("head " << heads << ", " << (read ? "taken" : "refused") << ": " << text);
        }
    }
    BOOST_TEST(taken > heads / 20); // Heads without a fault are among them.
    BOOST_TEST_MESSAGE(heads << " heads, " << taken << " taken");
}

// Guards against chunks whose reading depends on how their bytes arrive.
BOOST_AUTO_TEST_CASE(mutatedChunksAreReadAlikeInAnySplit)
{
    HeadSource source(seed);
    const auto end = std::chrono::steady_clock::now() + runLength() / 2;
    int answers = 0;
    int ended = 0;
    int differing = 0;
    while (std::chrono::steady_clock::now() < end && differing < 20) {
        const std::string text = source.drawChunks();
        const auto whole = readAnswer(text, text.size());
        ++answers;
        ended += whole ? 1 : 0;
        if (whole != readAnswer(text, source.drawStep()) || whole != readAnswer(text, 1)) {
            ++differing;
            BOOST_ERROR("read differently: " << text);
        }
    }
    BOOST_TEST(ended > answers / 10);
    BOOST_TEST(ended < answers);
    BOOST_TEST_MESSAGE(answers << " answers, " << ended << " ended");
}
