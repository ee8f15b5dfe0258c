#pragma once

#include <anvilwalk/request.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <opentracing/tracer.h>
#include <string>

namespace anvilwalk {

struct PacketTracerOptions {
    BalancerId balancer;
    // One in this many flows is traced. Selection depends only on the flow hash, so all balancers trace the same flows.
    std::uint32_t sampleEvery = 1000;
    // File path, or "-" for standard error.
    std::string output;
    // Number of spans written together as one line of JSON.
    std::size_t spansPerLine = 100;
};

// Records a span for each hop of a packet of a sampled flow. Thread-safe.
class PacketTracer {
public:
    explicit PacketTracer(const PacketTracerOptions&);
    // Writes the remaining spans.
    ~PacketTracer();
    PacketTracer(const PacketTracer&) = delete;
    PacketTracer& operator=(const PacketTracer&) = delete;

    void trace(const PacketView&, const Decision&, std::uint32_t hop);

private:
    void record(const PacketView&, const Decision&, std::uint32_t hop, std::uint64_t flowHash);
    // Creates a new tracer for each line, since the recorder buffers all spans until it is closed.
    void openTracer();

    PacketTracerOptions m_options;
    std::mutex m_mutex;
    std::shared_ptr<opentracing::Tracer> m_tracer;
    std::size_t m_spans = 0;
};

} // namespace anvilwalk
