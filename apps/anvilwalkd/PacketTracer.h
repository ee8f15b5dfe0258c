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
    // One flow of this many is traced. The choice depends on the flow only, so that all balancers agree.
    std::uint32_t sampleEvery = 1000;
    // Path of a file, or "-" for standard error.
    std::string output;
    // Spans that are written together, as one line of JSON.
    std::size_t spansPerLine = 100;
};

// Writes a span for each hop of a sampled packet. Safe for use by several threads.
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
    // The recorder keeps all spans until it is closed, so a new one is opened for each line.
    void openTracer();

    PacketTracerOptions m_options;
    std::mutex m_mutex;
    std::shared_ptr<opentracing::Tracer> m_tracer;
    std::size_t m_spans = 0;
};

} // namespace anvilwalk
