#include "CurlTransfers.h"

#include "flamingowick/model/Error.h"
#include "flamingowick/model/HttpHead.h"

#include <curl/curl.h>

#include <array>
#include <map>

namespace flamingowick::platform {

namespace {

    constexpr int setupError = 201;

    struct EasyDeleter {
        void operator()(CURL* handle) const noexcept { curl_easy_cleanup(handle); }
    };

    struct ListDeleter {
        void operator()(curl_slist* list) const noexcept { curl_slist_free_all(list); }
    };

    struct MultiDeleter {
        void operator()(CURLM* handle) const noexcept { curl_multi_cleanup(handle); }
    };

    struct Transfer {
        TransferId id { 0 };
        TransferRequest request;
        std::unique_ptr<CURL, EasyDeleter> easy;
        std::unique_ptr<curl_slist, ListDeleter> headers;
        ResponseHead head;
        std::string body;
        std::array<char, CURL_ERROR_SIZE> error {};
    };

    void initialiseLibrary()
    {
        static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
        if (code != CURLE_OK)
            throw PlatformError(setupError, "libcurl initialisation failed");
    }

    template <typename Value>
    void setOption(const Transfer& transfer, CURLoption option, Value value)
    {
        if (curl_easy_setopt(transfer.easy.get(), option, value) != CURLE_OK)
            throw PlatformError(setupError, "libcurl rejected a transfer option");
    }

    unsigned responseStatus(const Transfer& transfer)
    {
        long status = 0;
        curl_easy_getinfo(transfer.easy.get(), CURLINFO_RESPONSE_CODE, &status);
        return static_cast<unsigned>(status);
    }

    bool hasSentBytes(const Transfer& transfer)
    {
        long requestBytes = 0;
        curl_easy_getinfo(transfer.easy.get(), CURLINFO_REQUEST_SIZE, &requestBytes);
        return requestBytes > 0;
    }

    std::size_t onHeader(char* data, std::size_t, std::size_t size, void* user)
    {
        Transfer& transfer = *static_cast<Transfer*>(user);
        readHeaderLine(transfer.head, { data, size });
        if (transfer.head.malformed)
            return 0;
        const bool endOfHeaders = std::string_view(data, size) == "\r\n";
        if (endOfHeaders && transfer.request.onResponseStart && responseStatus(transfer) == 200)
            transfer.request.onResponseStart();
        return size;
    }

    std::size_t onBody(char* data, std::size_t, std::size_t size, void* user)
    {
        Transfer& transfer = *static_cast<Transfer*>(user);
        if (transfer.request.onBodyBytes && responseStatus(transfer) == 200)
            return transfer.request.onBodyBytes({ data, size }) ? size : 0;
        if (transfer.body.size() + size > transfer.request.maxResponseBytes)
            return 0;
        transfer.body.append(data, size);
        return size;
    }

    void appendHeader(Transfer& transfer, const std::string& line)
    {
        curl_slist* extended = curl_slist_append(transfer.headers.get(), line.c_str());
        if (extended == nullptr)
            throw std::bad_alloc();
        static_cast<void>(transfer.headers.release());
        transfer.headers.reset(extended);
    }

    long milliseconds(Duration duration)
    {
        return static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
    }

    void setUpConnection(const Transfer& transfer)
    {
        const TransferRequest& request = transfer.request;
        setOption(transfer, CURLOPT_NOSIGNAL, 1L);
        setOption(transfer, CURLOPT_PROXY, "");
        setOption(transfer, CURLOPT_PROTOCOLS_STR, "http");
        setOption(transfer, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        setOption(transfer, CURLOPT_TCP_NODELAY, 1L);
        setOption(transfer, CURLOPT_CONNECTTIMEOUT_MS, milliseconds(request.connectTimeout));
        setOption(transfer, CURLOPT_TIMEOUT_MS, milliseconds(request.timeout));
        // libcurl resends a request by itself when a pooled connection turns out to be closed. A write that is sent
        // twice could be rejected because it conflicts with its own first copy.
        setOption(transfer, CURLOPT_FRESH_CONNECT, request.isWrite ? 1L : 0L);
        setOption(transfer, CURLOPT_FORBID_REUSE, request.isWrite ? 1L : 0L);
    }

    void setUpMessage(Transfer& transfer)
    {
        const TransferRequest& request = transfer.request;
        setOption(transfer, CURLOPT_URL, request.url.c_str());
        setOption(transfer, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        appendHeader(transfer, "X-Vm: " + request.vm);
        appendHeader(transfer, "Expect:");
        if (request.isWrite) {
            appendHeader(transfer, "Content-Type: application/json");
            setOption(transfer, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
            setOption(transfer, CURLOPT_POSTFIELDS, request.body.data());
        }
        setOption(transfer, CURLOPT_HTTPHEADER, transfer.headers.get());
    }

    void setUpCallbacks(Transfer& transfer)
    {
        setOption(transfer, CURLOPT_HEADERFUNCTION, &onHeader);
        setOption(transfer, CURLOPT_HEADERDATA, &transfer);
        setOption(transfer, CURLOPT_WRITEFUNCTION, &onBody);
        setOption(transfer, CURLOPT_WRITEDATA, &transfer);
        setOption(transfer, CURLOPT_ERRORBUFFER, transfer.error.data());
        setOption(transfer, CURLOPT_PRIVATE, &transfer);
    }

    // Whether the response's header is whole and says where its body ends. A watch's response may end with its connection, since each of its lines is
    // complete by itself.
    bool isWhole(const Transfer& transfer)
    {
        const unsigned status = responseStatus(transfer);
        const bool endIsKnown = transfer.head.framed || status == 204 || status == 304 || transfer.request.onBodyBytes;
        return transfer.head.complete && endIsKnown;
    }

    Exchange describeExchange(const Transfer& transfer, CURLcode code)
    {
        Exchange exchange;
        exchange.write = transfer.request.isWrite;
        exchange.sent = hasSentBytes(transfer);
        exchange.answered = code == CURLE_OK && isWhole(transfer);
        exchange.status = responseStatus(transfer);
        if (code != CURLE_OK)
            exchange.error = transfer.head.malformed ? "the response's header is malformed" : transfer.error[0] != '\0' ? transfer.error.data()
                                                                                                                        : curl_easy_strerror(code);
        else if (!exchange.answered)
            exchange.error = "the response may have been cut";
        return exchange;
    }

}

struct CurlTransfers::State {
    std::unique_ptr<CURLM, MultiDeleter> multi;
    std::map<TransferId, std::unique_ptr<Transfer>> transfers;
    TransferId lastId { 0 };
};

CurlTransfers::CurlTransfers()
    : state(std::make_unique<State>())
{
    initialiseLibrary();
    this->state->multi.reset(curl_multi_init());
    if (!this->state->multi)
        throw PlatformError(setupError, "libcurl initialisation failed");
}

CurlTransfers::~CurlTransfers()
{
    for (const auto& entry : this->state->transfers)
        curl_multi_remove_handle(this->state->multi.get(), entry.second->easy.get());
}

TransferId CurlTransfers::start(TransferRequest request)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->id = ++this->state->lastId;
    transfer->request = std::move(request);
    transfer->easy.reset(curl_easy_init());
    if (!transfer->easy)
        throw PlatformError(setupError, "libcurl could not create a transfer handle");
    setUpConnection(*transfer);
    setUpMessage(*transfer);
    setUpCallbacks(*transfer);
    const auto inserted = this->state->transfers.emplace(transfer->id, std::move(transfer)).first;
    if (curl_multi_add_handle(this->state->multi.get(), inserted->second->easy.get()) != CURLM_OK) {
        this->state->transfers.erase(inserted);
        throw PlatformError(setupError, "libcurl could not add a transfer");
    }
    return inserted->first;
}

Exchange CurlTransfers::cancel(TransferId id)
{
    const auto found = this->state->transfers.find(id);
    if (found == this->state->transfers.end())
        return {};
    curl_multi_remove_handle(this->state->multi.get(), found->second->easy.get());
    Exchange exchange = describeExchange(*found->second, CURLE_ABORTED_BY_CALLBACK);
    this->state->transfers.erase(found);
    return exchange;
}

void CurlTransfers::perform(std::vector<FinishedTransfer>& finished)
{
    int running = 0;
    curl_multi_perform(this->state->multi.get(), &running);
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(this->state->multi.get(), &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        // Must be read before curl_multi_remove_handle(), which invalidates the message.
        const CURLcode code = message->data.result;
        CURL* easy = message->easy_handle;
        char* user = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &user);
        auto& transfer = *reinterpret_cast<Transfer*>(user);
        finished.push_back({ transfer.id, describeExchange(transfer, code), std::move(transfer.body) });
        curl_multi_remove_handle(this->state->multi.get(), easy);
        const TransferId id = transfer.id;
        this->state->transfers.erase(id);
    }
}

void CurlTransfers::wait(Duration timeout)
{
    curl_multi_poll(this->state->multi.get(), nullptr, 0, static_cast<int>(milliseconds(timeout)), nullptr);
}

void CurlTransfers::wake() noexcept { curl_multi_wakeup(this->state->multi.get()); }

}
