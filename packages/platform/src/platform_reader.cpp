#include <tamarackhoist/platform/platform_reader.hpp>

#include <tamarackhoist/transport/http_connection.hpp>
#include <utility>

namespace tamarackhoist::platform
{

namespace http = boost::beast::http;
using transport::exchange_result;
using transport::exchange_status;

namespace
{

constexpr unsigned http_1_1 = 11;
/// Time for the response, in addition to the wait that the request asks for.
constexpr runtime::duration response_timeout = std::chrono::seconds(2);

transport::http_request make_get(const std::string& path)
{
    transport::http_request request(http::verb::get, path, http_1_1);
    request.set(http::field::host, "platform");
    return request;
}

std::optional<std::string> describe_failure(const exchange_result& result)
{
    if (result.status != exchange_status::answered) {
        return "no response from the platform";
    }
    const auto status = result.response.result();
    if (status != http::status::ok && status != http::status::no_content) {
        return "the platform responded with status " +
               std::to_string(result.response.result_int());
    }
    return std::nullopt;
}

} // namespace

platform_reader::platform_reader(boost::asio::any_io_executor executor,
                                 transport::endpoint service)
    : executor_(std::move(executor)), service_(std::move(service))
{
}

void platform_reader::read_value(const std::string& key, std::uint64_t after,
                                 runtime::duration wait, value_handler handle)
{
    transport::exchange_once(
        executor_, service_, make_get(value_path(key, after, wait)),
        wait + response_timeout,
        [handle = std::move(handle), key](const exchange_result& result) {
            if (const auto failure = describe_failure(result)) {
                handle(*failure);
                return;
            }
            if (result.response.result() == http::status::no_content) {
                handle(std::optional<configuration_value>());
                return;
            }
            auto decoded = decode_value(result.response.body());
            if (!decoded) {
                handle(std::move(decoded).error());
                return;
            }
            if (decoded.value().key != key) {
                handle("the response is for value \"" + decoded.value().key +
                       "\" instead of \"" + key + "\"");
                return;
            }
            handle(std::optional(std::move(decoded).value()));
        });
}

void platform_reader::read_vm_list(vm_handler handle)
{
    transport::exchange_once(
        executor_, service_, make_get(vm_list_path), response_timeout,
        [handle = std::move(handle)](const exchange_result& result) {
            if (const auto failure = describe_failure(result)) {
                handle(*failure);
                return;
            }
            handle(decode_vm_list(result.response.body()));
        });
}

} // namespace tamarackhoist::platform
