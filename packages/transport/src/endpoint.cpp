#include <tamarackhoist/transport/endpoint.hpp>

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace tamarackhoist::transport
{

std::optional<endpoint> endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto address = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    if (address.starts_with('[') && address.ends_with(']')) {
        address = address.substr(1, address.size() - 2);
    }
    boost::system::error_code invalid;
    boost::asio::ip::make_address(std::string(address), invalid);
    std::uint16_t port = 0;
    const auto* end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    if (invalid || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return endpoint{std::string(address), port};
}

std::string endpoint::to_text() const
{
    const bool is_ipv6 = address.find(':') != std::string::npos;
    const auto host = is_ipv6 ? "[" + address + "]" : address;
    return host + ":" + std::to_string(port);
}

} // namespace tamarackhoist::transport
