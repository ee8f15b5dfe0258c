#include "HeartbeatWriter.h"

#include "WireSize.h"

namespace anvilwalk {

namespace {

    // Time allowed for a graceful close once the lifetime of the stream has expired.
    constexpr std::chrono::seconds closeGrace { 5 };

} // namespace

HeartbeatWriter::HeartbeatWriter(const GrpcPeerClientOptions& options, std::atomic<std::uint64_t>& bytesSent)
    : m_options(options)
    , m_bytesSent(bytesSent)
    , m_openedAt(std::chrono::steady_clock::now())
    , m_waitingSince(m_openedAt)
{
}

std::shared_ptr<HeartbeatWriter> HeartbeatWriter::open(
    peer::Peer::Stub& stub, const GrpcPeerClientOptions& options, std::atomic<std::uint64_t>& bytesSent)
{
    std::shared_ptr<HeartbeatWriter> writer(new HeartbeatWriter(options, bytesSent));
    writer->m_self = writer;
    writer->m_context.set_deadline(std::chrono::system_clock::now() + options.streamLifetime + closeGrace);
    stub.async()->Heartbeats(&writer->m_context, &writer->m_summary, writer.get());
    // A hold is needed because writes are also started outside the reactor's callbacks.
    writer->AddHold();
    writer->StartCall();
    return writer;
}

void HeartbeatWriter::send(const peer::Heartbeat& heartbeat, Time now)
{
    bool removeHold = false;
    bool timedOut = false;
    {
        const std::lock_guard lock(m_mutex);
        m_pending = heartbeat;
        if (m_ended || m_closing)
            return;
        const bool busy = !m_accepted || m_isWriting;
        if (busy && now - m_waitingSince > m_options.streamTimeout) {
            timedOut = true;
            removeHold = markEnded();
        } else if (!busy && now - m_openedAt > m_options.streamLifetime) {
            m_closing = true;
            StartWritesDone();
            removeHold = markEnded();
        } else if (!busy) {
            startWrite();
        }
    }
    if (timedOut)
        m_context.TryCancel();
    if (removeHold)
        RemoveHold();
}

void HeartbeatWriter::cancel()
{
    bool removeHold = false;
    {
        const std::lock_guard lock(m_mutex);
        removeHold = markEnded();
    }
    m_context.TryCancel();
    if (removeHold)
        RemoveHold();
}

void HeartbeatWriter::join()
{
    std::unique_lock lock(m_mutex);
    m_doneCondition.wait(lock, [this] { return m_done; });
}

bool HeartbeatWriter::ended() const
{
    const std::lock_guard lock(m_mutex);
    return m_ended;
}

bool HeartbeatWriter::wasAccepted() const
{
    const std::lock_guard lock(m_mutex);
    return m_accepted;
}

std::optional<peer::Heartbeat> HeartbeatWriter::takePending()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_pending, std::nullopt);
}

void HeartbeatWriter::startWrite()
{
    m_writing = std::move(*m_pending);
    m_pending.reset();
    m_isWriting = true;
    m_waitingSince = std::chrono::steady_clock::now();
    m_bytesSent += wireSize(m_writing);
    StartWrite(&m_writing);
}

bool HeartbeatWriter::markEnded() { return !std::exchange(m_ended, true); }

void HeartbeatWriter::OnReadInitialMetadataDone(bool ok)
{
    bool removeHold = false;
    {
        const std::lock_guard lock(m_mutex);
        m_accepted = ok;
        if (!ok)
            removeHold = markEnded();
        else if (m_pending && !m_ended && !m_isWriting)
            startWrite();
    }
    if (removeHold)
        RemoveHold();
}

void HeartbeatWriter::OnWriteDone(bool ok)
{
    bool removeHold = false;
    {
        const std::lock_guard lock(m_mutex);
        m_isWriting = false;
        if (!ok) {
            // The write failed; the next stream sends this heartbeat unless a newer one is pending.
            if (!m_pending)
                m_pending = m_writing;
            removeHold = markEnded();
        } else if (m_pending && !m_ended) {
            startWrite();
        }
    }
    if (removeHold)
        RemoveHold();
}

void HeartbeatWriter::OnDone(const grpc::Status&)
{
    const std::shared_ptr<HeartbeatWriter> self = std::move(m_self);
    const std::lock_guard lock(m_mutex);
    m_ended = true;
    m_done = true;
    m_doneCondition.notify_all();
}

} // namespace anvilwalk
