#include <tamarackhoist/peers/peer_codec.hpp>

#include "codec_support.hpp"
#include <peer_messages.pb.h>
#include <tamarackhoist/peers/gossip_message.hpp>

namespace tamarackhoist::peers
{

namespace
{

bool is_valid(const wire::KeyRange& range)
{
    return range.begin() <= range.end() && range.end() <= policy::key_space_end;
}

} // namespace

std::string encode_sub_requests(std::span<const policy::sub_request> requests,
                                runtime::time_point now)
{
    wire::SubRequestBatch batch;
    batch.set_protocol(protocol_version);
    const auto* shared_body =
        requests.empty() ? nullptr : requests.front().body.get();
    if (shared_body != nullptr) {
        batch.set_body(*shared_body);
    }
    for (const auto& request : requests) {
        auto* encoded = batch.add_requests();
        encoded->set_origin(request.id.origin);
        encoded->set_serial(request.id.serial);
        encoded->set_target(request.target.value);
        encoded->set_rank(static_cast<std::uint32_t>(request.rank));
        encoded->set_remaining_us(to_microseconds(request.deadline - now));
        encoded->mutable_range()->set_begin(request.range.begin);
        encoded->mutable_range()->set_end(request.range.end);
        encoded->set_version(request.version);
        encoded->set_is_idempotent(request.is_idempotent);
        encoded->set_is_hedge(request.is_hedge);
        encoded->set_may_redirect(request.may_redirect);
        if (request.body.get() != shared_body && request.body) {
            encoded->set_body(*request.body);
        }
    }
    return batch.SerializeAsString();
}

std::optional<std::vector<policy::sub_request>>
decode_sub_requests(std::string_view message, runtime::time_point now)
{
    wire::SubRequestBatch batch;
    if (!parse(message, batch) || batch.protocol() != protocol_version) {
        return std::nullopt;
    }
    const auto shared_body = std::make_shared<const std::string>(batch.body());
    std::vector<policy::sub_request> requests;
    for (const auto& encoded : batch.requests()) {
        if (!is_valid(encoded.range())) {
            return std::nullopt;
        }
        policy::sub_request request;
        request.id = {encoded.origin(), encoded.serial()};
        request.target = {encoded.target()};
        request.rank = encoded.rank();
        request.deadline = now + from_microseconds(encoded.remaining_us());
        request.range = {encoded.range().begin(), encoded.range().end()};
        request.version = encoded.version();
        request.is_idempotent = encoded.is_idempotent();
        request.is_hedge = encoded.is_hedge();
        request.may_redirect = encoded.may_redirect();
        request.body =
            encoded.body().empty()
                ? shared_body
                : std::make_shared<const std::string>(encoded.body());
        requests.push_back(std::move(request));
    }
    return requests;
}

std::string encode_sub_reply(const policy::sub_reply& reply)
{
    wire::SubReply encoded;
    encoded.set_origin(reply.id.origin);
    encoded.set_serial(reply.id.serial);
    encoded.set_source(reply.source.value);
    encoded.set_outcome(static_cast<std::uint32_t>(reply.outcome));
    encoded.set_reason(static_cast<std::uint32_t>(reply.reason));
    encoded.set_waited_us(to_microseconds(reply.waited));
    encoded.set_version(reply.version);
    for (const auto& range : reply.covered.ranges()) {
        auto* covered = encoded.add_covered();
        covered->set_begin(range.begin);
        covered->set_end(range.end);
    }
    for (const auto& item : reply.items) {
        auto* added = encoded.add_items();
        added->set_key(item.position);
        added->set_value(item.value);
    }
    auto* load = encoded.mutable_load();
    load->set_rank(static_cast<std::uint32_t>(reply.load.rank));
    load->set_queue_delay_us(to_microseconds(reply.load.queue_delay));
    load->set_service_time_us(to_microseconds(reply.load.service_time));
    load->set_version_low(reply.load.versions.low);
    load->set_version_high(reply.load.versions.high);
    load->set_is_draining(reply.load.is_draining);
    load->set_is_suspect(reply.load.is_suspect);
    return encoded.SerializeAsString();
}

std::optional<policy::sub_reply> decode_sub_reply(std::string_view message)
{
    constexpr auto max_outcome =
        static_cast<std::uint32_t>(policy::sub_outcome::failed);
    constexpr auto max_reason =
        static_cast<std::uint32_t>(policy::refusal::queue_full);
    wire::SubReply encoded;
    if (!parse(message, encoded) || encoded.outcome() > max_outcome ||
        encoded.reason() > max_reason) {
        return std::nullopt;
    }
    policy::sub_reply reply;
    reply.id = {encoded.origin(), encoded.serial()};
    reply.source = {encoded.source()};
    reply.outcome = static_cast<policy::sub_outcome>(encoded.outcome());
    reply.reason = static_cast<policy::refusal>(encoded.reason());
    reply.waited = from_microseconds(encoded.waited_us());
    reply.version = encoded.version();
    for (const auto& range : encoded.covered()) {
        if (!is_valid(range)) {
            return std::nullopt;
        }
        reply.covered.add({range.begin(), range.end()});
    }
    for (const auto& item : encoded.items()) {
        reply.items.push_back({item.key(), item.value()});
    }
    const auto& load = encoded.load();
    reply.load = {load.rank(),
                  from_microseconds(load.queue_delay_us()),
                  from_microseconds(load.service_time_us()),
                  {load.version_low(), load.version_high()},
                  load.is_draining(),
                  load.is_suspect()};
    return reply;
}

std::string encode_cancel(const cancel_request& request)
{
    wire::CancelRequest encoded;
    encoded.set_origin(request.id.origin);
    encoded.set_serial(request.id.serial);
    encoded.set_target(request.target.value);
    return encoded.SerializeAsString();
}

std::optional<cancel_request> decode_cancel(std::string_view message)
{
    wire::CancelRequest encoded;
    if (!parse(message, encoded)) {
        return std::nullopt;
    }
    return cancel_request{{encoded.origin(), encoded.serial()},
                          {encoded.target()}};
}

std::string encode_order(const forwarded_order& order)
{
    wire::ForwardedOrder encoded;
    encoded.set_protocol(protocol_version);
    encoded.set_ticket(order.ticket.to_text());
    encoded.set_service(order.service);
    encoded.set_key(order.position);
    encoded.set_rank(static_cast<std::uint32_t>(order.rank));
    encoded.set_remaining_us(to_microseconds(order.remaining));
    encoded.set_body(order.body);
    return encoded.SerializeAsString();
}

std::optional<forwarded_order> decode_order(std::string_view message)
{
    wire::ForwardedOrder encoded;
    if (!parse(message, encoded) || encoded.protocol() != protocol_version ||
        encoded.key() >= policy::key_space_end) {
        return std::nullopt;
    }
    const auto ticket = policy::order_ticket::parse(encoded.ticket());
    if (!ticket) {
        return std::nullopt;
    }
    return forwarded_order{*ticket,
                           encoded.service(),
                           encoded.key(),
                           encoded.rank(),
                           from_microseconds(encoded.remaining_us()),
                           encoded.body()};
}

std::string encode_outcome(const policy::order_outcome& outcome)
{
    wire::OrderOutcome encoded;
    encoded.set_status(static_cast<std::uint32_t>(outcome.status));
    encoded.set_reason(outcome.reason);
    encoded.set_body(outcome.body);
    return encoded.SerializeAsString();
}

std::optional<policy::order_outcome> decode_outcome(std::string_view message)
{
    constexpr auto max_status =
        static_cast<std::uint32_t>(policy::order_status::unknown);
    wire::OrderOutcome encoded;
    if (!parse(message, encoded) || encoded.status() > max_status) {
        return std::nullopt;
    }
    return policy::order_outcome{
        static_cast<policy::order_status>(encoded.status()), encoded.reason(),
        encoded.body()};
}

std::string encode_document_request(const document_request& request)
{
    wire::DocumentRequest encoded;
    encoded.set_protocol(protocol_version);
    encoded.set_after_revision(request.after_revision);
    encoded.set_wants_all(request.wants_all);
    return encoded.SerializeAsString();
}

std::optional<document_request>
decode_document_request(std::string_view message)
{
    wire::DocumentRequest encoded;
    if (!parse(message, encoded) || encoded.protocol() != protocol_version) {
        return std::nullopt;
    }
    return document_request{encoded.after_revision(), encoded.wants_all()};
}

std::string encode_sections(std::span<const shared_section> sections)
{
    wire::DocumentRecords encoded;
    encoded.set_protocol(protocol_version);
    for (const auto& section : sections) {
        auto* record = encoded.add_records();
        record->set_title(section.title);
        record->set_source(section.source);
        record->set_revision(section.revision);
        record->set_text(section.text);
        record->set_is_removed(section.is_removed);
    }
    return encoded.SerializeAsString();
}

std::optional<std::vector<shared_section>>
decode_sections(std::string_view message)
{
    wire::DocumentRecords encoded;
    if (!parse(message, encoded) || encoded.protocol() != protocol_version) {
        return std::nullopt;
    }
    std::vector<shared_section> sections;
    for (const auto& record : encoded.records()) {
        sections.push_back({record.title(), record.source(), record.revision(),
                            record.text(), record.is_removed()});
    }
    return sections;
}

} // namespace tamarackhoist::peers
