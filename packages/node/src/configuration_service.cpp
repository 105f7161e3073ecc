#include <tamarackhoist/node/configuration_service.hpp>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <tamarackhoist/runtime/event.hpp>
#include <utility>

namespace tamarackhoist::node
{

namespace asio = boost::asio;
using runtime::event_number;

namespace
{

constexpr runtime::duration tick_interval = std::chrono::milliseconds(200);
/// Time for which the configuration service holds a long-poll request.
constexpr runtime::duration watch_timeout = std::chrono::seconds(10);
/// Minimum delay before a failed read, or a pending request to a peer, is
/// retried.
constexpr runtime::duration retry_interval = std::chrono::seconds(1);
constexpr runtime::duration vm_list_interval = std::chrono::seconds(1);
/// Time without a message from any peer after which a node that is not a
/// watcher reads the configuration service itself.
constexpr runtime::duration peer_silence_timeout = std::chrono::seconds(3);
/// Delay before the first read of a starting node, in which a peer may send it
/// the document.
constexpr runtime::duration first_read_delay = std::chrono::milliseconds(600);
constexpr std::size_t max_watchers_per_domain = 2;
/// Peers that receive a pushed change directly.
constexpr std::size_t max_push_peers = 4;
/// Platform reads per starting node: the document and the VM list.
constexpr double reads_per_start = 2;
/// Fraction of the granted read rate that startup and fallback reads may use.
constexpr double fallback_share = 0.5;
/// Minimum time between two requests for the full document by a node that
/// already has one.
constexpr runtime::duration full_request_interval = std::chrono::seconds(3);
/// Limit on the bytes of sections per message, well below the maximum message
/// size.
constexpr std::size_t max_batch_bytes = 1024 * 1024;

peers::shared_section to_shared_section(const document::section_record& record)
{
    return {record.title, record.source, record.revision, record.text,
            record.is_removed};
}

document::section_record to_section_record(const peers::shared_section& section)
{
    return {section.title, section.source, section.revision, section.text,
            section.is_removed};
}

peers::digest_summary to_digest_summary(const document::document_digest& digest)
{
    return {digest.revision, digest.hash};
}

/// Returns the members that are not in state `dead`, except `own_name`.
std::vector<peers::member> find_live_peers(const cluster_view& view,
                                           const std::string& own_name)
{
    std::vector<peers::member> live;
    for (const auto& [id, member] : view.members) {
        if (member.name != own_name &&
            member.state != peers::member_state::dead) {
            live.push_back(member);
        }
    }
    return live;
}

} // namespace

configuration_service::configuration_service(
    const asio::any_io_executor& executor, runtime::clock clock,
    const node_settings& settings, cluster& cluster, peer_directory& directory,
    runtime::audit_trail& audit_trail, operators::metrics& metrics, hooks hooks,
    std::uint64_t seed)
    : strand_(asio::make_strand(executor)), timer_(strand_),
      clock_(std::move(clock)), settings_(settings), cluster_(cluster),
      peer_directory_(directory), audit_trail_(audit_trail), metrics_(metrics),
      hooks_(std::move(hooks)), reader_(executor, settings.platform),
      random_(seed)
{
}

void configuration_service::start()
{
    asio::post(strand_, [self = shared_from_this()] {
        // Spreads the first reads of all nodes at random, so that their rate
        // stays within the fleet's read quota when a whole failure domain
        // starts at once.
        const auto spread_seconds =
            reads_per_start * self->settings_.expected_nodes /
            (fallback_share * self->settings_.service_reads_per_second);
        auto jitter = std::uniform_real_distribution<>(0, spread_seconds);
        const auto now = self->clock_.now();
        self->last_peer_message_at_ = now;
        self->next_read_at_ = now + first_read_delay +
                              runtime::from_seconds(jitter(self->random_));
        self->tick();
    });
}

void configuration_service::stop()
{
    asio::post(strand_, [self = shared_from_this()] {
        self->is_stopped_ = true;
        self->timer_.cancel();
    });
}

void configuration_service::tick()
{
    if (is_stopped_) {
        return;
    }
    const auto now = clock_.now();
    // Step 1: a node without a document requests it from a peer.
    if (state_.empty()) {
        request_document_from_random_peer();
    }
    // Step 2: watchers keep a long poll open for every value. Other nodes read
    // the values only while they have no document or receive no messages from
    // peers.
    const bool are_peers_silent =
        now - last_peer_message_at_ >= peer_silence_timeout;
    const bool needs_platform =
        is_watcher() || are_peers_silent || state_.empty();
    if (needs_platform && now >= next_read_at_) {
        for (const auto& key : settings_.document_values) {
            start_watch(key);
        }
        if (now - vm_list_read_at_ >= vm_list_interval &&
            !is_vm_list_pending_) {
            vm_list_read_at_ = now;
            read_vm_list();
        }
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code error) {
            if (!error) {
                self->tick();
            }
        });
}

bool configuration_service::is_watcher() const
{
    // Rendezvous hashing selects the watchers: the live nodes of the failure
    // domain with the highest hashes.
    const auto view = cluster_.view();
    const auto self = policy::node_id::from_name(settings_.name);
    const auto domain = policy::hash_text(settings_.failure_domain);
    const auto own_rank = policy::hash_pair(domain, self.value);
    std::size_t higher_ranked_count = 0;
    for (const auto& [id, member] : view->members) {
        const bool is_candidate =
            id != self && member.failure_domain == settings_.failure_domain &&
            (member.state == peers::member_state::alive ||
             member.state == peers::member_state::suspect);
        if (!is_candidate) {
            continue;
        }
        higher_ranked_count +=
            policy::hash_pair(domain, id.value) > own_rank ? 1 : 0;
    }
    return higher_ranked_count < max_watchers_per_domain;
}

void configuration_service::start_watch(const std::string& key)
{
    auto& watch = watches_[key];
    if (watch.is_read_pending) {
        return;
    }
    watch.is_read_pending = true;
    read_value(key, watch.revision == 0 ? runtime::duration{} : watch_timeout);
}

void configuration_service::read_value(const std::string& key,
                                       runtime::duration wait)
{
    metrics_.count({"tamarackhoist_platform_reads_total", {}});
    reader_.read_value(
        key, watches_[key].revision, wait,
        [self = shared_from_this(),
         key](runtime::result<std::optional<platform::configuration_value>,
                              std::string>
                  result) {
            asio::post(self->strand_, [self, key, result = std::move(result)] {
                self->handle_value(key, result);
            });
        });
}

void configuration_service::handle_value(
    const std::string& key,
    const runtime::result<std::optional<platform::configuration_value>,
                          std::string>& result)
{
    auto& watch = watches_[key];
    watch.is_read_pending = false;
    const auto now = clock_.now();
    if (!result) {
        runtime::log_event(event_number::platform_read_failed,
                           "value \"" + key + "\": " + result.error());
        auto jitter = std::uniform_real_distribution<>(1, 2);
        next_read_at_ =
            now + runtime::from_seconds(runtime::to_seconds(retry_interval) *
                                        jitter(random_));
        return;
    }
    if (!result.value()) {
        return;
    }
    const auto& value = *result.value();
    if (value.revision <= watch.revision) {
        runtime::log_event(event_number::platform_answer_rejected,
                           "value \"" + key + "\" has revision " +
                               std::to_string(value.revision) +
                               ", not newer than revision " +
                               std::to_string(watch.revision));
        next_read_at_ = now + retry_interval;
        return;
    }
    watch.revision = value.revision;
    const auto changes = state_.apply(key, value.text, value.revision);
    is_confirmed_ = true;
    on_changes(changes);
    push_changes(changes);
}

void configuration_service::read_vm_list()
{
    is_vm_list_pending_ = true;
    metrics_.count({"tamarackhoist_platform_reads_total", {}});
    reader_.read_vm_list(
        [self = shared_from_this()](
            runtime::result<std::vector<platform::listed_vm>, std::string>
                result) {
            asio::post(self->strand_, [self, result = std::move(result)] {
                self->is_vm_list_pending_ = false;
                if (!result) {
                    runtime::log_event(event_number::platform_read_failed,
                                       "VM list: " + result.error());
                    return;
                }
                self->handle_vm_list(result.value());
            });
        });
}

void configuration_service::handle_vm_list(
    const std::vector<platform::listed_vm>& vms)
{
    for (const auto& vm : vms) {
        if (vm.role == platform::vm_role::entry) {
            if (vm.state == platform::vm_state::live) {
                hooks_.on_node_listed({vm.address, vm.port});
            }
            continue;
        }
        const auto id = policy::upstream_id::from_name(vm.name);
        const bool is_draining = vm.state == platform::vm_state::leaving;
        auto& was_draining = listed_drains_[id];
        if (std::exchange(was_draining, is_draining) == is_draining) {
            continue;
        }
        audit_trail_.record({std::chrono::system_clock::now(),
                             is_draining
                                 ? runtime::audit_kind::upstream_draining
                                 : runtime::audit_kind::upstream_returned,
                             vm.name,
                             {},
                             0,
                             0,
                             "VM list"});
        hooks_.on_upstream_drain(id, is_draining);
    }
}

void configuration_service::on_digest_mismatch(
    const peers::member& peer, const peers::digest_summary& digest)
{
    asio::post(strand_, [self = shared_from_this(), peer, digest] {
        const auto own = self->state_.digest();
        if (digest == to_digest_summary(own) ||
            digest.revision < own.revision) {
            return;
        }
        // At equal revisions the contents differ, so the full document is
        // requested; otherwise only the sections with newer revisions.
        const bool wants_all = digest.revision == own.revision;
        const auto now = self->clock_.now();
        if (wants_all && now < self->next_full_request_at_) {
            return;
        }
        if (wants_all) {
            self->next_full_request_at_ = now + full_request_interval;
        }
        self->request_sections(peer, {own.revision, wants_all});
    });
}

void configuration_service::on_peer_message()
{
    asio::post(strand_, [self = shared_from_this()] {
        self->last_peer_message_at_ = self->clock_.now();
    });
}

void configuration_service::request_document_from_random_peer()
{
    const auto live = find_live_peers(*cluster_.view(), settings_.name);
    if (live.empty()) {
        return;
    }
    const auto position =
        std::uniform_int_distribution<std::size_t>(0, live.size() - 1)(random_);
    request_sections(live[position], {0, true});
}

void configuration_service::request_sections(const peers::member& peer,
                                             peers::document_request request)
{
    const auto now = clock_.now();
    if (is_request_pending_ && now - requested_at_ < retry_interval) {
        return;
    }
    is_request_pending_ = true;
    requested_at_ = now;
    auto self = shared_from_this();
    auto received = std::make_shared<std::vector<peers::shared_section>>();
    peer_directory_.get_or_open_link(peer)->call(
        peers::call_path::document, peers::encode_document_request(request),
        [received](std::string_view message) {
            auto sections = peers::decode_sections(message);
            if (!sections) {
                return;
            }
            std::ranges::move(*sections, std::back_inserter(*received));
        },
        [self, received](peers::call_end end) {
            asio::post(self->strand_, [self, received, end] {
                self->is_request_pending_ = false;
                if (end == peers::call_end::clean) {
                    self->merge_sections(*received, false);
                }
            });
        });
}

void configuration_service::handle_push(
    std::vector<peers::shared_section> sections)
{
    asio::post(strand_,
               [self = shared_from_this(), sections = std::move(sections)] {
                   self->merge_sections(sections, true);
               });
}

void configuration_service::merge_sections(
    const std::vector<peers::shared_section>& sections, bool is_push)
{
    if (sections.empty()) {
        return;
    }
    // A push contains only the sections changed by one edit. They cannot be
    // validated without the document that they belong to, which `tick`
    // requests from a peer instead.
    if (is_push && state_.empty()) {
        return;
    }
    std::vector<document::section_record> records;
    std::ranges::transform(sections, std::back_inserter(records),
                           to_section_record);
    is_confirmed_ = true;
    const auto changes = state_.merge(records);
    on_changes(changes);
    if (is_push) {
        push_changes(changes);
    }
}

void configuration_service::on_changes(const section_changes& changes)
{
    for (const auto& change : changes) {
        record_audit_entry(change);
    }
    hooks_.on_digest(to_digest_summary(state_.digest()));
    const auto effective = state_.effective();
    if (effective && effective != cluster_.view()->deployment) {
        cluster_.set_deployment(effective);
    }
}

void configuration_service::push_changes(const section_changes& changes)
{
    std::vector<peers::shared_section> sections;
    std::size_t bytes = 0;
    for (const auto& record : state_.records()) {
        const bool is_changed =
            std::ranges::any_of(changes, [&](const auto& change) {
                return change.errors.empty() && change.title == record.title;
            });
        if (is_changed) {
            sections.push_back(to_shared_section(record));
            bytes += record.text.size();
        }
    }
    // A large change, such as the first read, is not pushed: peers request it
    // when gossip shows them a different digest.
    if (sections.empty() || bytes > max_batch_bytes) {
        return;
    }
    const auto message = peers::encode_sections(sections);
    auto live = find_live_peers(*cluster_.view(), settings_.name);
    std::ranges::shuffle(live, random_);
    if (live.size() > max_push_peers) {
        live.erase(live.begin() + max_push_peers, live.end());
    }
    for (const auto& peer : live) {
        peer_directory_.get_or_open_link(peer)->call(
            peers::call_path::push, message, [](std::string_view) {},
            [](peers::call_end) {});
    }
}

void configuration_service::record_audit_entry(
    const document::section_change& change)
{
    runtime::audit_entry entry;
    entry.at = std::chrono::system_clock::now();
    entry.subject = change.title;
    entry.owner = change.owner;
    entry.old_revision = change.old_revision;
    entry.new_revision = change.new_revision;
    if (!change.errors.empty()) {
        entry.kind = runtime::audit_kind::section_refused;
        entry.detail = change.errors.front().to_text();
        runtime::log_event(event_number::section_refused,
                           "section \"" + change.title + "\" revision " +
                               std::to_string(change.new_revision) + ": " +
                               entry.detail);
    } else {
        entry.kind = change.is_removed ? runtime::audit_kind::section_removed
                                       : runtime::audit_kind::section_in_force;
        runtime::log_event(event_number::section_accepted,
                           "section \"" + change.title + "\" revision " +
                               std::to_string(change.new_revision));
    }
    audit_trail_.record(std::move(entry));
}

void configuration_service::handle_request(
    const peers::document_request& request, sections_handler handler)
{
    asio::post(strand_, [self = shared_from_this(), request,
                         handler = std::move(handler)] {
        std::vector<peers::shared_section> batch;
        std::size_t bytes = 0;
        for (const auto& record : self->state_.records()) {
            if (!request.wants_all &&
                record.revision <= request.after_revision) {
                continue;
            }
            bytes += record.text.size() + record.title.size();
            batch.push_back(to_shared_section(record));
            if (bytes >= max_batch_bytes) {
                handler(std::exchange(batch, {}));
                bytes = 0;
            }
        }
        if (!batch.empty()) {
            handler(std::move(batch));
        }
        handler({});
    });
}

void configuration_service::report(report_handler handler)
{
    asio::post(strand_, [self = shared_from_this(),
                         handler = std::move(handler)] {
        std::map<std::string, operators::section_report> sections;
        for (const auto& record : self->state_.records()) {
            if (record.is_removed) {
                continue;
            }
            sections[record.title] = {record.title, record.revision, {}};
        }
        for (const auto& refusal : self->state_.refusals()) {
            auto& section = sections[refusal.title];
            section.title = refusal.title;
            section.fault = refusal.errors.front().to_text();
        }
        std::vector<operators::section_report> reports;
        for (auto& [title, section] : sections) {
            reports.push_back(std::move(section));
        }
        handler(std::move(reports), self->state_.digest(), self->is_confirmed_);
    });
}

} // namespace tamarackhoist::node
