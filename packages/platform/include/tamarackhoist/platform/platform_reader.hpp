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

/// Client of the configuration service and of the VM list. Each call sends one
/// request and reports its result on the executor's threads.
class platform_reader
{
public:
    platform_reader(boost::asio::any_io_executor executor,
                    transport::endpoint service);

    /// Receives the value, nothing if its revision does not exceed the
    /// requested one, or a description of the error.
    using value_handler = std::function<void(
        runtime::result<std::optional<configuration_value>, std::string>)>;
    /// Receives the VM list or a description of the error.
    using vm_handler = std::function<void(
        runtime::result<std::vector<listed_vm>, std::string>)>;

    /// Reads the value of `key` if its revision exceeds `after`. The service
    /// holds the request for at most `wait` until it does.
    void read_value(const std::string& key, std::uint64_t after,
                    runtime::duration wait, value_handler handle);

    /// Reads the list of all VMs.
    void read_vm_list(vm_handler handle);

private:
    boost::asio::any_io_executor executor_;
    const transport::endpoint service_;
};

} // namespace tamarackhoist::platform

#endif
