// Simulates callers: sends queries, and orders with tickets, of several callers
// at fixed rates over keep-alive connections to every node for a limited time.
// Checks the coverage and version of every query response, prints the results
// per caller, and exits with code 1 when a response was inconsistent.

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <tamarackhoist/callers/caller_wire.hpp>
#include <tamarackhoist/transport/http_connection.hpp>

DEFINE_string(nodes, "",
              "Comma-separated ADDRESS:PORT list of the nodes' caller ports");
DEFINE_string(work, "",
              "Comma-separated request streams: CALLER/INDEX/RATE for queries, "
              "CALLER/SERVICE/RATE/order for orders; "
              "RATE is in requests per second");
DEFINE_double(seconds, 5, "Time for which requests are sent, in seconds");
DEFINE_int32(connections, 16, "Most idle connections kept to each node");
DEFINE_bool(json, false, "Print JSON instead of a table");

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace tamarackhoist;
using clock_type = std::chrono::steady_clock;

constexpr auto request_timeout = std::chrono::seconds(10);
constexpr int max_order_attempts = 4;
constexpr unsigned http_1_1 = 11;

/// Counts of one stream: requests sent, and responses by outcome.
struct stream_result {
    std::string name;
    std::uint64_t sent = 0;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t failed = 0;
    /// Responses whose results contradict their coverage or version.
    std::uint64_t wrong = 0;
    /// Sum of the covered fractions of all complete and partial responses.
    double coverage_sum = 0;
    /// Milliseconds from the first request to the response.
    std::vector<double> latencies_ms;
};

/// Keep-alive connections to one node.
class node_connection_pool
{
public:
    node_connection_pool(asio::io_context& context, transport::endpoint address)
        : context_(context), address_(std::move(address))
    {
    }

    void send(const transport::http_request& request,
              const transport::http_connection::exchange_handler& handle)
    {
        if (!idle_.empty()) {
            auto connection = idle_.back();
            idle_.pop_back();
            exchange(connection, request, handle);
            return;
        }
        auto connection =
            transport::http_connection::create(context_.get_executor());
        connection->connect(
            address_, request_timeout,
            [this, connection, request, handle](bool is_connected) {
                if (!is_connected) {
                    handle({transport::exchange_status::not_sent, {}});
                    return;
                }
                exchange(connection, request, handle);
            });
    }

private:
    using connection_pointer = std::shared_ptr<transport::http_connection>;

    void exchange(const connection_pointer& connection,
                  const transport::http_request& request,
                  const transport::http_connection::exchange_handler& handle)
    {
        connection->exchange(request, request_timeout,
                             [this, connection, handle](
                                 const transport::exchange_result& result) {
                                 if (connection->is_open() &&
                                     idle_.size() < static_cast<std::size_t>(
                                                        FLAGS_connections)) {
                                     idle_.push_back(connection);
                                 } else if (connection->is_open()) {
                                     connection->close();
                                 }
                                 handle(result);
                             });
    }

    asio::io_context& context_;
    const transport::endpoint address_;
    std::vector<connection_pointer> idle_;
};

/// Returns the fraction of the key space that the response covers, 0 to 1.
double covered_fraction(const json::object& answer)
{
    double total = 0;
    for (const auto& range : answer.at("coverage").at("answered").as_array()) {
        total +=
            range.at(1).to_number<double>() - range.at(0).to_number<double>();
    }
    return total / static_cast<double>(policy::key_space_end);
}

/// Returns whether a result lies outside the stated coverage, occurs twice or
/// has another version than the response states.
bool has_wrong_results(const json::object& answer)
{
    const auto version = answer.at("index_version");
    policy::key_range_set answered;
    for (const auto& range : answer.at("coverage").at("answered").as_array()) {
        answered.add({range.at(0).to_number<policy::key>(),
                      range.at(1).to_number<policy::key>()});
    }
    std::map<policy::key, int> item_counts;
    for (const auto& item : answer.at("results").as_array()) {
        const auto position = item.at("key").to_number<policy::key>();
        const bool is_consistent =
            answered.contains(position) && ++item_counts[position] == 1 &&
            item.at("value").at("version").to_number<std::uint64_t>() ==
                version.to_number<std::uint64_t>();
        if (!is_consistent) {
            return true;
        }
    }
    return false;
}

/// Requests of one caller, sent at a fixed rate to the nodes in turn.
class request_stream
{
public:
    request_stream(asio::io_context& context,
                   std::vector<std::unique_ptr<node_connection_pool>>& nodes,
                   const std::string& text)
        : timer_(context), nodes_(nodes)
    {
        std::istringstream parts(text);
        std::string rate;
        std::string kind;
        std::getline(parts, caller_, '/');
        std::getline(parts, target_, '/');
        std::getline(parts, rate, '/');
        std::getline(parts, kind, '/');
        is_order_ = kind == "order";
        interval_ = std::chrono::duration_cast<clock_type::duration>(
            std::chrono::duration<double>(1 / std::stod(rate)));
        result_.name = caller_ + (is_order_ ? " (orders)" : "");
    }

    void start()
    {
        next_send_ = clock_type::now();
        end_ = next_send_ + std::chrono::duration_cast<clock_type::duration>(
                                std::chrono::duration<double>(FLAGS_seconds));
        schedule_next();
    }

    [[nodiscard]] const stream_result& result() const { return result_; }

private:
    void schedule_next()
    {
        if (next_send_ >= end_) {
            return;
        }
        timer_.expires_at(next_send_);
        timer_.async_wait([this](auto) {
            next_send_ += interval_;
            ++result_.sent;
            if (is_order_) {
                send_ticket_request(result_.sent);
            } else {
                send_query(result_.sent);
            }
            schedule_next();
        });
    }

    [[nodiscard]] transport::http_request make_request(const char* path,
                                                       std::uint64_t number,
                                                       json::object body) const
    {
        transport::http_request request(http::verb::post, path, http_1_1);
        request.set(http::field::host, "tier");
        request.set("Caller", caller_);
        request.set("Request-Id", caller_ + "-" + std::to_string(number));
        request.body() = json::serialize(body);
        return request;
    }

    void send_query(std::uint64_t number)
    {
        const auto begin = clock_type::now();
        const auto request =
            make_request(callers::query_path, number,
                         {{"index", target_}, {"body", "player"}});
        send(number, request,
             [this, begin](const transport::exchange_result& result) {
                 on_query_response(result, begin);
             });
    }

    void send(std::uint64_t number, const transport::http_request& request,
              const transport::http_connection::exchange_handler& handle)
    {
        nodes_[number % nodes_.size()]->send(request, handle);
    }

    void on_query_response(const transport::exchange_result& result,
                           clock_type::time_point begin)
    {
        if (result.status != transport::exchange_status::answered) {
            ++result_.failed;
            return;
        }
        const auto answer = json::parse(result.response.body()).as_object();
        const std::string outcome(answer.at("outcome").as_string());
        if (outcome == "not_run") {
            ++result_.not_run;
            return;
        }
        if (outcome == "failed") {
            ++result_.failed;
            return;
        }
        (outcome == "complete" ? result_.complete : result_.partial) += 1;
        result_.coverage_sum += covered_fraction(answer);
        result_.wrong += has_wrong_results(answer) ? 1 : 0;
        result_.latencies_ms.push_back(
            std::chrono::duration<double, std::milli>(clock_type::now() - begin)
                .count());
    }

    void send_ticket_request(std::uint64_t number)
    {
        const auto begin = clock_type::now();
        const auto request =
            make_request(callers::ticket_path, number, {{"service", target_}});
        send(number, request,
             [this, number, begin](const transport::exchange_result& result) {
                 if (result.status != transport::exchange_status::answered ||
                     result.response.result() != http::status::ok) {
                     ++result_.not_run;
                     return;
                 }
                 const auto answer =
                     json::parse(result.response.body()).as_object();
                 send_order(number,
                            std::string(answer.at("ticket").as_string()), begin,
                            1);
             });
    }

    /// Sends an order. When its outcome is unknown, retries at the next node
    /// with the same ticket.
    void send_order(std::uint64_t number, const std::string& ticket,
                    clock_type::time_point begin, int attempt)
    {
        auto request =
            make_request(callers::order_path, number,
                         {{"service", target_},
                          {"key", number},
                          {"body", caller_ + std::to_string(number)}});
        request.set("Idempotency-Key", ticket);
        const auto node = number + static_cast<std::uint64_t>(attempt) - 1;
        send(node, request,
             [this, number, ticket, begin,
              attempt](const transport::exchange_result& result) {
                 std::string outcome = "unknown";
                 if (result.status == transport::exchange_status::answered) {
                     const auto answer =
                         json::parse(result.response.body()).as_object();
                     outcome = answer.at("outcome").as_string();
                 }
                 // A refused order has used up its ticket, so only an unknown
                 // outcome is retried.
                 if (outcome == "unknown" && attempt < max_order_attempts) {
                     send_order(number, ticket, begin, attempt + 1);
                     return;
                 }
                 if (outcome == "ran") {
                     ++result_.complete;
                     result_.coverage_sum += 1;
                     result_.latencies_ms.push_back(
                         std::chrono::duration<double, std::milli>(
                             clock_type::now() - begin)
                             .count());
                     return;
                 }
                 (outcome == "not_run" ? result_.not_run : result_.unknown) +=
                     1;
             });
    }

    asio::steady_timer timer_;
    std::vector<std::unique_ptr<node_connection_pool>>& nodes_;
    std::string caller_;
    /// Index of the queries, or service of the orders.
    std::string target_;
    bool is_order_ = false;
    clock_type::duration interval_{};
    clock_type::time_point next_send_;
    clock_type::time_point end_;
    stream_result result_;
};

/// Returns the value at the rank of `probability` (0 to 1), 0 if there is none.
double quantile(std::vector<double> values, double probability)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto position = static_cast<std::size_t>(
        probability * static_cast<double>(values.size() - 1));
    return values[position];
}

void print_table(const std::vector<std::unique_ptr<request_stream>>& streams)
{
    std::cout << std::left << std::setw(24) << "CALLER" << std::right
              << std::setw(8) << "SENT" << std::setw(10) << "ANSWERED"
              << std::setw(10) << "COVERAGE" << std::setw(9) << "P50_MS"
              << std::setw(9) << "P99_MS" << std::setw(9) << "REFUSED"
              << std::setw(9) << "FAILED" << std::setw(9) << "UNKNOWN"
              << std::setw(7) << "WRONG" << '\n';
    for (const auto& stream : streams) {
        const auto& result = stream->result();
        const auto answered = result.complete + result.partial;
        const auto coverage =
            answered == 0 ? 0
                          : result.coverage_sum / static_cast<double>(answered);
        std::cout << std::left << std::setw(24) << result.name << std::right
                  << std::fixed << std::setw(8) << result.sent << std::setw(10)
                  << answered << std::setw(10) << std::setprecision(4)
                  << coverage << std::setw(9) << std::setprecision(1)
                  << quantile(result.latencies_ms, 0.5) << std::setw(9)
                  << quantile(result.latencies_ms, 0.99) << std::setw(9)
                  << result.not_run << std::setw(9) << result.failed
                  << std::setw(9) << result.unknown << std::setw(7)
                  << result.wrong << '\n';
    }
}

void print_json(const std::vector<std::unique_ptr<request_stream>>& streams)
{
    json::array entries;
    for (const auto& stream : streams) {
        const auto& result = stream->result();
        entries.push_back({{"caller", result.name},
                           {"sent", result.sent},
                           {"complete", result.complete},
                           {"partial", result.partial},
                           {"not_run", result.not_run},
                           {"failed", result.failed},
                           {"unknown", result.unknown},
                           {"wrong", result.wrong},
                           {"p99_ms", quantile(result.latencies_ms, 0.99)}});
    }
    std::cout << json::serialize(entries) << '\n';
}

} // namespace

int main(int argument_count, char** arguments)
{
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    asio::io_context context;
    std::vector<std::unique_ptr<node_connection_pool>> nodes;
    std::istringstream node_list(FLAGS_nodes);
    for (std::string text; std::getline(node_list, text, ',');) {
        nodes.push_back(std::make_unique<node_connection_pool>(
            context, *transport::endpoint::parse(text)));
    }
    std::vector<std::unique_ptr<request_stream>> streams;
    std::istringstream work_list(FLAGS_work);
    for (std::string text; std::getline(work_list, text, ',');) {
        streams.push_back(
            std::make_unique<request_stream>(context, nodes, text));
    }
    for (const auto& stream : streams) {
        stream->start();
    }
    context.run();
    if (FLAGS_json) {
        print_json(streams);
    } else {
        print_table(streams);
    }
    const bool is_any_wrong = std::ranges::any_of(
        streams, [](const auto& stream) { return stream->result().wrong > 0; });
    return is_any_wrong ? 1 : 0;
}
