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
constexpr runtime::duration watch_wait = std::chrono::seconds(10);
constexpr runtime::duration watch_retry = std::chrono::seconds(1);
constexpr runtime::duration vm_list_interval = std::chrono::seconds(1);
/// Silence of all peers after which a node reads for itself.
constexpr runtime::duration peer_silence = std::chrono::seconds(3);
/// Time that a starting node waits for a peer's document first.
constexpr runtime::duration first_read_delay = std::chrono::milliseconds(600);
constexpr std::size_t watchers_per_domain = 2;
constexpr std::size_t push_fan_out = 4;
/// Reads of a starting node: the document and the VM list.
constexpr double reads_per_start = 2;
/// Part of the granted reads that starting and fallback reads may use.
constexpr double fallback_share = 0.5;
/// Least time between two requests for the whole document by a node that
/// has one.
constexpr runtime::duration full_ask_interval = std::chrono::seconds(3);
/// Bytes of sections per message, well below the largest message.
constexpr std::size_t max_batch_bytes = 1024 * 1024;

peers::shared_section to_shared(const document::section_record& record)
{
    return {record.title, record.source, record.revision, record.text,
            record.is_removed};
}

document::section_record to_record(const peers::shared_section& section)
{
    return {section.title, section.source, section.revision, section.text,
            section.is_removed};
}

peers::digest_summary to_summary(const document::document_digest& digest)
{
    return {digest.revision, digest.hash};
}

/// Returns the members other than `own_name` that are not believed dead.
std::vector<peers::member> live_peers(const cluster_view& view,
                                      const std::string& own_name)
{
    std::vector<peers::member> live;
    for (const auto& [id, each] : view.members) {
        if (each.name != own_name && each.state != peers::member_state::dead) {
            live.push_back(each);
        }
    }
    return live;
}

} // namespace

configuration_service::configuration_service(
    const asio::any_io_executor& executor, runtime::clock time,
    const node_settings& settings, cluster& members, peer_directory& links,
    runtime::audit_trail& audit, operators::metrics& measured, hooks actions,
    std::uint64_t seed)
    : strand_(asio::make_strand(executor)), timer_(strand_),
      time_(std::move(time)), settings_(settings), cluster_(members),
      links_(links), audit_(audit), metrics_(measured),
      actions_(std::move(actions)), reader_(executor, settings.platform),
      random_(seed)
{
}

void configuration_service::start()
{
    asio::post(strand_, [self = shared_from_this()] {
        // The first read is spread over the fleet's share of the service, so
        // that a whole domain may start at once.
        const auto spread =
            reads_per_start * self->settings_.expected_nodes /
            (fallback_share * self->settings_.service_reads_per_second);
        auto jitter = std::uniform_real_distribution<>(0, spread);
        const auto now = self->time_.now();
        self->peer_heard_at_ = now;
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
    const auto now = time_.now();
    // Step 1: a node without a document asks its peers first.
    if (state_.empty()) {
        ask_some_peer();
    }
    // Step 2: watchers hold a watch on every value; the others read only
    // when no peer is heard.
    const bool is_silent = now - peer_heard_at_ >= peer_silence;
    const bool needs_platform = is_watcher() || is_silent || state_.empty();
    if (needs_platform && now >= next_read_at_) {
        for (const auto& key : settings_.document_values) {
            watch(key);
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
    const auto view = cluster_.view();
    const auto self = policy::node_id::of(settings_.name);
    const auto domain = policy::hash_text(settings_.failure_domain);
    const auto own_weight = policy::hash_pair(domain, self.value);
    std::size_t ahead = 0;
    for (const auto& [id, each] : view->members) {
        const bool is_candidate =
            id != self && each.failure_domain == settings_.failure_domain &&
            (each.state == peers::member_state::alive ||
             each.state == peers::member_state::suspect);
        if (!is_candidate) {
            continue;
        }
        ahead += policy::hash_pair(domain, id.value) > own_weight ? 1 : 0;
    }
    return ahead < watchers_per_domain;
}

void configuration_service::watch(const std::string& key)
{
    auto& each = watches_[key];
    if (each.is_waiting) {
        return;
    }
    each.is_waiting = true;
    read(key, each.revision == 0 ? runtime::duration{} : watch_wait);
}

void configuration_service::read(const std::string& key, runtime::duration wait)
{
    metrics_.count({"tamarackhoist_platform_reads_total", {}});
    reader_.read_value(
        key, watches_[key].revision, wait,
        [self = shared_from_this(),
         key](runtime::result<std::optional<platform::configuration_value>,
                              std::string>
                  result) {
            asio::post(self->strand_, [self, key, result = std::move(result)] {
                self->on_value(key, result);
            });
        });
}

void configuration_service::on_value(
    const std::string& key,
    const runtime::result<std::optional<platform::configuration_value>,
                          std::string>& result)
{
    auto& each = watches_[key];
    each.is_waiting = false;
    const auto now = time_.now();
    if (!result) {
        runtime::log_event(event_number::platform_read_failed,
                           "value \"" + key + "\": " + result.error());
        auto jitter = std::uniform_real_distribution<>(1, 2);
        next_read_at_ =
            now + runtime::from_seconds(runtime::to_seconds(watch_retry) *
                                        jitter(random_));
        return;
    }
    if (!result.value()) {
        return;
    }
    const auto& value = *result.value();
    if (value.revision <= each.revision) {
        runtime::log_event(event_number::platform_answer_rejected,
                           "value \"" + key + "\" went back to revision " +
                               std::to_string(value.revision));
        next_read_at_ = now + watch_retry;
        return;
    }
    each.revision = value.revision;
    const auto made = state_.apply(key, value.text, value.revision);
    is_confirmed_ = true;
    on_changes(made);
    push(made);
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
                self->on_vm_list(result.value());
            });
        });
}

void configuration_service::on_vm_list(
    const std::vector<platform::listed_vm>& vms)
{
    for (const auto& vm : vms) {
        if (vm.role == platform::vm_role::entry) {
            if (vm.state == platform::vm_state::live) {
                actions_.on_listed_node({vm.address, vm.port});
            }
            continue;
        }
        const auto id = policy::upstream_id::of(vm.name);
        const bool is_leaving = vm.state == platform::vm_state::leaving;
        auto& known = listed_upstreams_[id];
        if (std::exchange(known, is_leaving) == is_leaving) {
            continue;
        }
        audit_.record({std::chrono::system_clock::now(),
                       is_leaving ? runtime::audit_kind::upstream_draining
                                  : runtime::audit_kind::upstream_returned,
                       vm.name,
                       {},
                       0,
                       0,
                       "VM list"});
        actions_.on_listed_upstream(id, is_leaving);
    }
}

void configuration_service::on_other_digest(const peers::member& peer,
                                            const peers::digest_summary& digest)
{
    asio::post(strand_, [self = shared_from_this(), peer, digest] {
        const auto own = self->state_.digest();
        if (digest == to_summary(own) || digest.revision < own.revision) {
            return;
        }
        // At an equal revision the contents differ, so all of it is asked
        // for; otherwise only what is newer.
        const bool wants_all = digest.revision == own.revision;
        const auto now = self->time_.now();
        if (wants_all && now < self->next_full_ask_at_) {
            return;
        }
        if (wants_all) {
            self->next_full_ask_at_ = now + full_ask_interval;
        }
        self->ask(peer, {own.revision, wants_all});
    });
}

void configuration_service::on_peer_heard()
{
    asio::post(strand_, [self = shared_from_this()] {
        self->peer_heard_at_ = self->time_.now();
    });
}

void configuration_service::ask_some_peer()
{
    const auto live = live_peers(*cluster_.view(), settings_.name);
    if (live.empty()) {
        return;
    }
    const auto position =
        std::uniform_int_distribution<std::size_t>(0, live.size() - 1)(random_);
    ask(live[position], {0, true});
}

void configuration_service::ask(const peers::member& peer,
                                peers::document_request request)
{
    const auto now = time_.now();
    if (is_asking_ && now - asked_at_ < watch_retry) {
        return;
    }
    is_asking_ = true;
    asked_at_ = now;
    auto self = shared_from_this();
    auto received = std::make_shared<std::vector<peers::shared_section>>();
    links_.get_or_open_link(peer)->call(
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
                self->is_asking_ = false;
                if (end == peers::call_end::clean) {
                    self->merge(*received, false);
                }
            });
        });
}

void configuration_service::on_push(std::vector<peers::shared_section> sections)
{
    asio::post(strand_,
               [self = shared_from_this(), sections = std::move(sections)] {
                   self->merge(sections, true);
               });
}

void configuration_service::merge(
    const std::vector<peers::shared_section>& sections, bool is_push)
{
    if (sections.empty()) {
        return;
    }
    // A push holds the changes of one edit. Without the document that they
    // change, they cannot be checked; the whole is asked for instead.
    if (is_push && state_.empty()) {
        return;
    }
    std::vector<document::section_record> records;
    std::ranges::transform(sections, std::back_inserter(records), to_record);
    is_confirmed_ = true;
    const auto made = state_.merge(records);
    on_changes(made);
    if (is_push) {
        push(made);
    }
}

void configuration_service::on_changes(const changes& made)
{
    for (const auto& change : made) {
        audit(change);
    }
    actions_.on_digest(to_summary(state_.digest()));
    const auto effective = state_.effective();
    if (effective && effective != cluster_.view()->deployment) {
        cluster_.set_deployment(effective);
    }
}

void configuration_service::push(const changes& made)
{
    std::vector<peers::shared_section> sections;
    std::size_t bytes = 0;
    for (const auto& record : state_.records()) {
        const bool is_changed =
            std::ranges::any_of(made, [&](const auto& change) {
                return change.errors.empty() && change.title == record.title;
            });
        if (is_changed) {
            sections.push_back(to_shared(record));
            bytes += record.text.size();
        }
    }
    // A large change, such as a first read, is left to the digests.
    if (sections.empty() || bytes > max_batch_bytes) {
        return;
    }
    const auto message = peers::encode_sections(sections);
    auto live = live_peers(*cluster_.view(), settings_.name);
    std::ranges::shuffle(live, random_);
    if (live.size() > push_fan_out) {
        live.erase(live.begin() + push_fan_out, live.end());
    }
    for (const auto& peer : live) {
        links_.get_or_open_link(peer)->call(
            peers::call_path::push, message, [](std::string_view) {},
            [](peers::call_end) {});
    }
}

void configuration_service::audit(const document::section_change& change)
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
                           change.title + " revision " +
                               std::to_string(change.new_revision) + ": " +
                               entry.detail);
    } else {
        entry.kind = change.is_removed ? runtime::audit_kind::section_removed
                                       : runtime::audit_kind::section_in_force;
        runtime::log_event(event_number::section_accepted,
                           change.title + " revision " +
                               std::to_string(change.new_revision));
    }
    audit_.record(std::move(entry));
}

void configuration_service::on_request(const peers::document_request& request,
                                       sections_handler handle)
{
    asio::post(strand_, [self = shared_from_this(), request,
                         handle = std::move(handle)] {
        std::vector<peers::shared_section> batch;
        std::size_t bytes = 0;
        for (const auto& record : self->state_.records()) {
            if (!request.wants_all &&
                record.revision <= request.after_revision) {
                continue;
            }
            bytes += record.text.size() + record.title.size();
            batch.push_back(to_shared(record));
            if (bytes >= max_batch_bytes) {
                handle(std::exchange(batch, {}));
                bytes = 0;
            }
        }
        if (!batch.empty()) {
            handle(std::move(batch));
        }
        handle({});
    });
}

void configuration_service::report(report_handler handle)
{
    asio::post(strand_, [self = shared_from_this(),
                         handle = std::move(handle)] {
        std::map<std::string, operators::section_report> sections;
        for (const auto& record : self->state_.records()) {
            if (record.is_removed) {
                continue;
            }
            sections[record.title] = {record.title, record.revision, {}};
        }
        for (const auto& refusal : self->state_.refusals()) {
            auto& each = sections[refusal.title];
            each.title = refusal.title;
            each.fault = refusal.errors.front().to_text();
        }
        std::vector<operators::section_report> reports;
        for (auto& [title, each] : sections) {
            reports.push_back(std::move(each));
        }
        handle(std::move(reports), self->state_.digest(), self->is_confirmed_);
    });
}

} // namespace tamarackhoist::node
