#include "flamingowick/proxy/Compression.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>
#include <new>

namespace flamingowick::proxy {

namespace {

    constexpr int compressionLevel = 3;
    // The window has to contain content and base; a decoder accepts a window of 128 MiB without being told to.
    constexpr int minWindowLog = 18;
    constexpr int maxWindowLog = 27;

    struct CompressorDeleter {
        void operator()(ZSTD_CCtx* context) const noexcept { ZSTD_freeCCtx(context); }
    };

    struct DecompressorDeleter {
        void operator()(ZSTD_DCtx* context) const noexcept { ZSTD_freeDCtx(context); }
    };

}

std::optional<std::string> compress(std::string_view content, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, CompressorDeleter> context(ZSTD_createCCtx());
    if (!context)
        throw std::bad_alloc();
    const int windowLog = std::clamp(static_cast<int>(std::bit_width(content.size() + base.size())), minWindowLog, maxWindowLog);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (!base.empty()) {
        // Finds long matches in all of the base, which the tables of this level don't cover.
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string compressed(ZSTD_compressBound(content.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), compressed.data(), compressed.size(), content.data(), content.size());
    if (ZSTD_isError(size) != 0)
        return std::nullopt;
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompress(std::string_view compressed, std::string_view base, std::size_t maxBytes)
{
    const unsigned long long stated = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (stated == ZSTD_CONTENTSIZE_UNKNOWN || stated == ZSTD_CONTENTSIZE_ERROR || stated > maxBytes)
        return std::nullopt;
    const std::unique_ptr<ZSTD_DCtx, DecompressorDeleter> context(ZSTD_createDCtx());
    if (!context)
        throw std::bad_alloc();
    if (!base.empty() && ZSTD_isError(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size())) != 0)
        return std::nullopt;
    std::string content(stated, '\0');
    const std::size_t size = ZSTD_decompressDCtx(context.get(), content.data(), content.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(size) != 0 || size != content.size())
        return std::nullopt;
    return content;
}

}
