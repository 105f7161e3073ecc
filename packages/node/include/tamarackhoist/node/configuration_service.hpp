#ifndef TAMARACKHOIST_NODE_CONFIGURATION_SERVICE_HPP
#define TAMARACKHOIST_NODE_CONFIGURATION_SERVICE_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <tamarackhoist/document/document_state.hpp>
#include <tamarackhoist/node/cluster.hpp>
#include <tamarackhoist/node/node_settings.hpp>
#include <tamarackhoist/node/peer_directory.hpp>
#include <tamarackhoist/operators/metrics.hpp>
#include <tamarackhoist/operators/node_report.hpp>
#include <tamarackhoist/peers/gossip_message.hpp>
#include <tamarackhoist/peers/peer_codec.hpp>
#include <tamarackhoist/platform/platform_reader.hpp>
#include <tamarackhoist/runtime/audit_trail.hpp>
#include <tamarackhoist/runtime/clock.hpp>

namespace tamarackhoist::node
{

/// Keeps the configuration document of this node up to date. A node without a
/// document requests it from a peer. Nodes that are watchers of their failure
/// domain also keep long polls open to the configuration service; the other
/// nodes read it only while they have no document or receive no messages from
/// peers. Accepted
/// changes are pushed to peers.
///
/// Runs on one strand; methods are thread-safe. Must be owned by a shared
/// pointer. See docs/design/configuration.md.
class configuration_service
    : public std::enable_shared_from_this<configuration_service>
{
public:
    struct hooks {
        /// Called with the digest of the document after sections were applied
        /// or merged.
        std::function<void(peers::digest_summary)> on_digest;
        /// Called when the VM list starts or ends the drain of an upstream.
        std::function<void(policy::upstream_id, bool is_draining)>
            on_upstream_drain;
        /// Called with the peer address of each live entry VM in the VM list.
        std::function<void(const transport::endpoint&)> on_node_listed;
    };

    configuration_service(const boost::asio::any_io_executor& executor,
                          runtime::clock clock, const node_settings& settings,
                          cluster& cluster, peer_directory& directory,
                          runtime::audit_trail& audit_trail,
                          operators::metrics& metrics, hooks hooks,
                          std::uint64_t seed);

    void start();
    void stop();

    /// Requests newer sections from `peer`, whose gossip contained a digest
    /// that differs from the local one.
    void on_digest_mismatch(const peers::member& peer,
                            const peers::digest_summary& digest);

    /// Records that a gossip message from a peer arrived.
    void on_peer_message();

    /// Merges sections that a peer pushed.
    void handle_push(std::vector<peers::shared_section> sections);

    using sections_handler =
        std::function<void(std::vector<peers::shared_section>)>;
    /// Calls `handler` with each batch of sections that `request` asks for, and
    /// then once with an empty batch.
    void handle_request(const peers::document_request& request,
                        sections_handler handler);

    using report_handler =
        std::function<void(std::vector<operators::section_report>,
                           document::document_digest, bool is_confirmed)>;
    /// Calls `handler` with the state of each section and the digest of the
    /// document. `is_confirmed` tells whether this process has received the
    /// document from the configuration service or a peer.
    void report(report_handler handler);

private:
    using section_changes = std::vector<document::section_change>;
    /// State of the reads of one value.
    struct watch_state {
        /// Last revision read; 0 before the first read.
        std::uint64_t revision = 0;
        bool is_read_pending = false;
    };

    void tick();
    /// Returns whether this node is one of the nodes of its failure domain that
    /// watch the configuration service.
    [[nodiscard]] bool is_watcher() const;
    void start_watch(const std::string& key);
    void read_value(const std::string& key, runtime::duration wait);
    void handle_value(
        const std::string& key,
        const runtime::result<std::optional<platform::configuration_value>,
                              std::string>& result);
    void read_vm_list();
    void handle_vm_list(const std::vector<platform::listed_vm>& vms);
    void request_sections(const peers::member& peer,
                          peers::document_request request);
    void request_document_from_random_peer();
    void merge_sections(const std::vector<peers::shared_section>& sections,
                        bool is_push);
    void on_changes(const section_changes& changes);
    void push_changes(const section_changes& changes);
    void record_audit_entry(const document::section_change& change);

    boost::asio::strand<boost::asio::any_io_executor> strand_;
    boost::asio::steady_timer timer_;
    const runtime::clock clock_;
    const node_settings settings_;
    cluster& cluster_;
    peer_directory& peer_directory_;
    runtime::audit_trail& audit_trail_;
    operators::metrics& metrics_;
    const hooks hooks_;
    platform::platform_reader reader_;
    std::mt19937_64 random_;
    document::document_state state_;
    std::map<std::string, watch_state> watches_;
    /// Whether each upstream was draining when the VM list was last read.
    std::map<policy::upstream_id, bool> listed_drains_;
    /// Time of the last gossip message from any peer.
    runtime::time_point last_peer_message_at_;
    /// Start of the last request to a peer.
    runtime::time_point requested_at_;
    runtime::time_point vm_list_read_at_;
    /// Earliest time of the next read from the platform.
    runtime::time_point next_read_at_;
    /// Earliest time of the next request for the full document.
    runtime::time_point next_full_request_at_;
    bool is_request_pending_ = false;
    bool is_confirmed_ = false;
    bool is_stopped_ = false;
    bool is_vm_list_pending_ = false;
};

} // namespace tamarackhoist::node

#endif
