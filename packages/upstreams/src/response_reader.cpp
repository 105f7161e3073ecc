#include <tamarackhoist/upstreams/response_reader.hpp>

#include <boost/asio/buffer.hpp>
#include <cassert>

namespace tamarackhoist::upstreams
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

/// Limit of a head, and of a chunk header or trailer.
constexpr std::size_t max_head_bytes = 64 * 1024;
/// Interim responses and responses to other requests that are skipped before
/// the expected response.
constexpr std::size_t max_skipped_responses = 8;

response_fault to_fault(error_code error)
{
    if (error == http::error::header_limit) {
        return response_fault::head_too_large;
    }
    if (error == http::error::body_limit) {
        return response_fault::body_too_large;
    }
    return response_fault::malformed;
}

} // namespace

response_reader::response_reader(options options)
    : options_(std::move(options)),
      reservation_(options_.budget, options_.service)
{
}

void response_reader::start(std::string request_id, bool is_head)
{
    request_id_ = std::move(request_id);
    is_head_ = is_head;
    skipped_responses_ = 0;
    progress_ = progress::incomplete;
    reset_parser();
}

void response_reader::reset_parser()
{
    parser_.emplace();
    parser_->header_limit(max_head_bytes);
    parser_->body_limit(options_.max_body_bytes);
    parser_->eager(true);
    parser_->skip(is_head_);
    is_head_reported_ = false;
    reservation_.release();
}

response_reader::progress response_reader::read(std::string_view bytes)
{
    if (unparsed_.empty()) {
        const auto used = parse(bytes);
        unparsed_.assign(bytes.substr(used));
    } else {
        unparsed_.append(bytes);
        unparsed_.erase(0, parse(unparsed_));
    }
    check_memory();
    return progress_;
}

response_reader::progress response_reader::read_end()
{
    error_code error;
    parser_->put_eof(error);
    if (!error && parser_->is_done()) {
        finish_response();
    }
    if (progress_ == progress::incomplete) {
        reject(response_fault::malformed);
    }
    return progress_;
}

std::size_t response_reader::parse(std::string_view bytes)
{
    std::size_t used = 0;
    while (progress_ == progress::incomplete && used < bytes.size()) {
        error_code error;
        const auto count =
            parser_->put(asio::buffer(bytes.substr(used)), error);
        used += count;
        report_head();
        if (error == http::error::need_more) {
            break;
        }
        if (error) {
            reject(to_fault(error));
            break;
        }
        if (parser_->is_done()) {
            finish_response();
            continue;
        }
        if (count == 0) {
            break;
        }
    }
    return used;
}

void response_reader::report_head()
{
    if (is_head_reported_ || !parser_->is_header_done()) {
        return;
    }
    is_head_reported_ = true;
    if (options_.on_head) {
        options_.on_head(parser_->get());
    }
}

void response_reader::finish_response()
{
    const auto& response = parser_->get();
    const bool is_interim = transport::get_status_class(response) ==
                            http::status_class::informational;
    const auto id = response.find(options_.request_id_field);
    const bool has_wrong_id =
        id == response.end() || id->value() != request_id_;
    if (!is_interim && !has_wrong_id) {
        progress_ = progress::complete;
        return;
    }
    if (!parser_->keep_alive()) {
        reject(response_fault::malformed);
        return;
    }
    ++skipped_responses_;
    if (skipped_responses_ > max_skipped_responses) {
        reject(response_fault::too_many_skipped);
        return;
    }
    reset_parser();
}

void response_reader::check_memory()
{
    if (progress_ != progress::incomplete) {
        return;
    }
    // The parser leaves incomplete lines of the framing to the caller.
    if (unparsed_.size() > max_head_bytes) {
        reject(response_fault::framing_too_large);
        return;
    }
    const auto held = parser_->get().body().size() + unparsed_.size();
    if (!reservation_.grow_to(held)) {
        reject(response_fault::out_of_memory);
    }
}

void response_reader::reject(response_fault fault)
{
    fault_ = fault;
    progress_ = progress::rejected;
    parser_.reset();
    unparsed_.clear();
    reservation_.release();
}

transport::http_response response_reader::take_response()
{
    assert(progress_ == progress::complete);
    auto response = parser_->release();
    reservation_.release();
    return response;
}

} // namespace tamarackhoist::upstreams
