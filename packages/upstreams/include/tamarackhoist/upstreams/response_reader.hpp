#ifndef TAMARACKHOIST_UPSTREAMS_RESPONSE_READER_HPP
#define TAMARACKHOIST_UPSTREAMS_RESPONSE_READER_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tamarackhoist/transport/http_message.hpp>
#include <tamarackhoist/transport/response_parser.hpp>
#include <tamarackhoist/upstreams/response_budget.hpp>
#include <tamarackhoist/upstreams/response_fault.hpp>

namespace tamarackhoist::upstreams
{

/// Reads the response to one request at a time from the bytes of a connection.
/// Skips interim responses and late duplicates of earlier responses. Bounds
/// everything that an upstream can send before the response is complete.
/// Performs no I/O.
class response_reader
{
public:
    struct options {
        /// Name of the header field that repeats the ID of the request.
        std::string request_id_field;
        /// Limit of a response's body.
        std::size_t max_body_bytes = 4 * 1024 * 1024;
        /// Service of the upstream, for its share of `budget`.
        std::string service = {};
        /// Memory for unfinished responses of the node; null for no limit.
        std::shared_ptr<response_budget> budget = nullptr;
        /// Called with the head of each response as soon as it is complete,
        /// also of interim ones, late duplicates and those that are cut off
        /// later. May be empty.
        std::function<void(const transport::http_response&)> on_head = nullptr;
    };

    /// State of the current response.
    enum class progress { incomplete, complete, rejected };

    explicit response_reader(options options);

    /// Expects the response to the request with this ID. `is_head` states
    /// whether the method is HEAD, whose response has no body.
    void start(std::string request_id, bool is_head);

    /// Processes bytes that were received.
    progress read(std::string_view bytes);

    /// Processes the end of the connection. It completes a response without a
    /// length.
    progress read_end();

    /// Whether a part of a response has arrived.
    [[nodiscard]] bool has_begun() const
    {
        return parser_ && parser_->got_some();
    }

    /// Returns the complete response. To be called once for each response.
    [[nodiscard]] transport::http_response take_response();

    /// Whether bytes arrived after the complete response. They belong to no
    /// request.
    [[nodiscard]] bool has_excess() const { return !unparsed_.empty(); }

    /// Returns why the bytes were rejected. Meaningful once they were.
    [[nodiscard]] response_fault fault() const { return fault_; }

private:
    void reset_parser();
    /// Parses as much of `bytes` as possible and returns its size.
    std::size_t parse(std::string_view bytes);
    void report_head();
    void finish_response();
    void check_memory();
    void reject(response_fault fault);

    const options options_;
    std::string request_id_;
    bool is_head_ = false;
    bool is_head_reported_ = false;
    std::optional<transport::response_parser> parser_;
    std::string unparsed_;
    response_reservation reservation_;
    std::size_t skipped_responses_ = 0;
    progress progress_ = progress::incomplete;
    response_fault fault_ = response_fault::malformed;
};

} // namespace tamarackhoist::upstreams

#endif
