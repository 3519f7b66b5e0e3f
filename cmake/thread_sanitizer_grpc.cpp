// Shows the thread sanitizer that an operation of gRPC completes after it was
// started. The completion queue hands the tag from thread to thread through
// atomic operations in libraries built without the sanitizer, so without this
// each field that the inline code of gRPC sets before the start and reads
// after the completion is reported as a race. These definitions in the
// executable take precedence over those of the library, call them, and pass on
// exactly the order that the queue gives; nothing is suppressed, so a reply
// that is changed while gRPC reads it is still reported.
// Linked into programs that are built with TQ_SANITIZE=thread only.

#include <dlfcn.h>
#include <sanitizer/tsan_interface.h>

#include <grpc/grpc.h>

namespace
{

// The library's own definition of a function.
template <class Function>
Function* original(const char* name)
{
    auto* found = dlsym(RTLD_NEXT, name);
    if (found == nullptr)
        __builtin_trap();
    return reinterpret_cast<Function*>(found);
}

} // namespace

extern "C" grpc_call_error grpc_call_start_batch(
    grpc_call* call, const grpc_op* ops, size_t nops, void* tag, void* reserved)
{
    static auto* const start =
        original<decltype(grpc_call_start_batch)>("grpc_call_start_batch");
    if (tag != nullptr)
        __tsan_release(tag);
    return start(call, ops, nops, tag, reserved);
}

extern "C" grpc_event grpc_completion_queue_next(
    grpc_completion_queue* queue, gpr_timespec deadline, void* reserved)
{
    static auto* const next = original<decltype(grpc_completion_queue_next)>(
        "grpc_completion_queue_next");
    const auto event = next(queue, deadline, reserved);
    if (event.type == GRPC_OP_COMPLETE && event.tag != nullptr)
        __tsan_acquire(event.tag);
    return event;
}
