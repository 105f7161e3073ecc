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

/// Keeps the document of this node current: asks peers first, watches the
/// configuration service when this node is a watcher of its failure domain,
/// reads it when peers are silent, and passes accepted sections on.
///
/// Runs on one strand; methods are thread-safe. Must be owned by a shared
/// pointer. docs/design/configuration.md describes the steps.
class configuration_service
    : public std::enable_shared_from_this<configuration_service>
{
public:
    struct hooks {
        std::function<void(peers::digest_summary)> on_digest;
        /// Drains of upstreams that the VM list announces.
        std::function<void(policy::upstream_id, bool is_leaving)>
            on_listed_upstream;
        /// Peer addresses of live entry VMs in the VM list.
        std::function<void(const transport::endpoint&)> on_listed_node;
    };

    configuration_service(const boost::asio::any_io_executor& executor,
                          runtime::clock time, const node_settings& settings,
                          cluster& members, peer_directory& links,
                          runtime::audit_trail& audit,
                          operators::metrics& measured, hooks actions,
                          std::uint64_t seed);

    void start();
    void stop();

    /// A peer's gossip showed another digest than ours.
    void on_other_digest(const peers::member& peer,
                         const peers::digest_summary& digest);

    /// Records that a peer was heard.
    void on_peer_heard();

    /// Takes pushed sections of a peer.
    void on_push(std::vector<peers::shared_section> sections);

    using sections_handler =
        std::function<void(std::vector<peers::shared_section>)>;
    /// Answers a peer's request for sections.
    void on_request(const peers::document_request& request,
                    sections_handler handle);

    using report_handler =
        std::function<void(std::vector<operators::section_report>,
                           document::document_digest, bool is_confirmed)>;
    void report(report_handler handle);

private:
    using changes = std::vector<document::section_change>;
    struct watch_state {
        std::uint64_t revision = 0;
        bool is_waiting = false;
    };

    void tick();
    [[nodiscard]] bool is_watcher() const;
    void watch(const std::string& key);
    void read(const std::string& key, runtime::duration wait);
    void
    on_value(const std::string& key,
             const runtime::result<std::optional<platform::configuration_value>,
                                   std::string>& result);
    void read_vm_list();
    void on_vm_list(const std::vector<platform::listed_vm>& vms);
    void ask(const peers::member& peer, peers::document_request request);
    void ask_some_peer();
    void merge(const std::vector<peers::shared_section>& sections,
               bool is_push);
    void on_changes(const changes& made);
    void push(const changes& made);
    void audit(const document::section_change& change);

    boost::asio::strand<boost::asio::any_io_executor> strand_;
    boost::asio::steady_timer timer_;
    const runtime::clock time_;
    const node_settings settings_;
    cluster& cluster_;
    peer_directory& links_;
    runtime::audit_trail& audit_;
    operators::metrics& metrics_;
    const hooks actions_;
    platform::platform_reader reader_;
    std::mt19937_64 random_;
    document::document_state state_;
    std::map<std::string, watch_state> watches_;
    std::map<policy::upstream_id, bool> listed_upstreams_;
    runtime::time_point peer_heard_at_;
    runtime::time_point asked_at_;
    runtime::time_point vm_list_read_at_;
    runtime::time_point next_read_at_;
    runtime::time_point next_full_ask_at_;
    bool is_asking_ = false;
    bool is_confirmed_ = false;
    bool is_stopped_ = false;
    bool is_vm_list_pending_ = false;
};

} // namespace tamarackhoist::node

#endif
