#include "bounded_appender.hpp"
#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace tamarackhoist;

namespace
{

/// A pipe that a queue writes to. The writing thread lives as long as the
/// process, so the pipe is never closed.
class log_pipe
{
public:
    log_pipe()
    {
        cr_assert_eq(::pipe(ends_.data()), 0);
        std::thread([queue = queue, end = ends_[1]] {
            queue->write_to(end);
        }).detach();
    }

    /// Reads until `line` is among what was written.
    bool read_until(const std::string& line)
    {
        std::array<char, 4096> buffer{};
        std::string seen;
        while (seen.find(line) == std::string::npos) {
            const auto size = ::read(ends_[0], buffer.data(), buffer.size());
            if (size <= 0) {
                return false;
            }
            // What comes before cannot begin the line.
            seen.erase(0, seen.size() - std::min(seen.size(), line.size()));
            seen.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return true;
    }

    std::shared_ptr<runtime::log_queue> queue =
        std::make_shared<runtime::log_queue>();

private:
    std::array<int, 2> ends_{};
};

/// Pattern: nobody reads the log. More lines come than the pipe and the queue
/// hold; none of the calls waits, the rest is counted, and once somebody reads
/// the log goes on.
void a_stopped_reader_stalls_nobody()
{
    log_pipe pipe;
    const std::string line(100, 'x');
    constexpr int lines = 50'000;
    // Five times what the queue holds. A call that waited for the reader would
    // wait for ever, since the reader comes after the last line.
    for (int count = 0; count < lines; ++count) {
        pipe.queue->push(line + "\n");
    }
    const auto dropped = pipe.queue->dropped();
    cr_assert_gt(dropped, 0U);
    cr_assert_lt(dropped, static_cast<std::uint64_t>(lines));
    std::thread reader([&] {
        // Accepted lines fill queue and pipe; the mark follows them.
        cr_assert(pipe.read_until("mark\n"));
    });
    // The queue takes lines again as soon as the reader made room.
    auto dropped_before = pipe.queue->dropped();
    pipe.queue->push("mark\n");
    while (pipe.queue->dropped() != dropped_before) {
        dropped_before = pipe.queue->dropped();
        std::this_thread::yield();
        pipe.queue->push("mark\n");
    }
    reader.join();
    constexpr int patience_ms = 5000;
    pipe.queue->flush(patience_ms);
    const auto dropped_at_end = pipe.queue->dropped();
    pipe.queue->push("after\n");
    cr_assert(pipe.read_until("after\n"));
    cr_assert_eq(pipe.queue->dropped(), dropped_at_end);
}

void lines_arrive_in_order()
{
    log_pipe pipe;
    pipe.queue->push("one\n");
    pipe.queue->push("two\n");
    cr_assert(pipe.read_until("one\ntwo\n"));
    cr_assert_eq(pipe.queue->dropped(), 0U);
}

} // namespace

Test(log_queue, stopped_reader, .timeout = 60)
{
    a_stopped_reader_stalls_nobody();
}
Test(log_queue, order, .timeout = 60)
{
    lines_arrive_in_order();
}
