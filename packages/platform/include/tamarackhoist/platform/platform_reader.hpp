#ifndef TAMARACKHOIST_PLATFORM_PLATFORM_READER_HPP
#define TAMARACKHOIST_PLATFORM_PLATFORM_READER_HPP

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tamarackhoist/platform/platform_wire.hpp>
#include <tamarackhoist/transport/endpoint.hpp>
#include <vector>

namespace tamarackhoist::platform
{

/// Reads the configuration service and the VM list. Each call makes one
/// request and reports its result on the executor's threads.
class platform_reader
{
public:
    platform_reader(boost::asio::any_io_executor executor,
                    transport::endpoint service);

    /// Outcome of a read: a value, nothing new, or an error.
    using value_handler = std::function<void(
        runtime::result<std::optional<configuration_value>, std::string>)>;
    using vm_handler = std::function<void(
        runtime::result<std::vector<listed_vm>, std::string>)>;

    /// Reads `key` once its revision exceeds `after`. With a `wait`, the
    /// service holds the request until then.
    void read_value(const std::string& key, std::uint64_t after,
                    runtime::duration wait, value_handler handle);

    void read_vm_list(vm_handler handle);

private:
    boost::asio::any_io_executor executor_;
    const transport::endpoint service_;
};

} // namespace tamarackhoist::platform

#endif
