#pragma once

#include "flamingowick/configuration/Digest.h"
#include "flamingowick/configuration/Documents.h"

#include <array>
#include <variant>
#include <vector>

// What daemons tell each other about documents. Any message may be lost, repeated or overtaken.
namespace flamingowick::configuration {

// Entries in one Announcement, Request or DigestEntries.
constexpr std::size_t maxMessageEntries = 2048;
// Bytes of text in one DocumentBatch, above which nothing is added. A longer document goes alone.
constexpr std::size_t maxBatchBytes = std::size_t { 256 } * 1024;

// The sender holds these revisions.
struct Announcement {
    std::vector<DocumentRevision> held;
};

// The sender asks for documents that the receiver holds.
struct DocumentRequest {
    std::vector<std::string> services;
};

struct DocumentBatch {
    std::vector<AcceptedDocument> documents;
};

// Opens a digest exchange, or answers one whose roots agree.
struct DigestSummary {
    // Chosen by the daemon that opens the exchange, and echoed.
    std::uint64_t exchange { 0 };
    std::uint64_t root { 0 };
    // The sender is ready, so agreement with it counts for a daemon that boots.
    bool ready { false };
    bool reply { false };
};

// Answers a summary whose root differs.
struct DigestBuckets {
    std::uint64_t exchange { 0 };
    bool ready { false };
    std::array<std::uint64_t, digestBuckets> buckets {};
};

// All that the sender holds in the buckets named.
struct DigestEntries {
    std::vector<std::uint16_t> buckets;
    std::vector<DocumentRevision> held;
};

using PeerMessage = std::variant<Announcement, DocumentRequest, DocumentBatch, DigestSummary, DigestBuckets, DigestEntries>;

}
