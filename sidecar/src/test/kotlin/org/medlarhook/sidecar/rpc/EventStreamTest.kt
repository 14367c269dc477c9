package org.medlarhook.sidecar.rpc

import io.grpc.stub.ServerCallStreamObserver
import org.medlarhook.protocol.GenerateEvent
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventStreamTest {
    private class FakeObserver : ServerCallStreamObserver<GenerateEvent>() {
        val events = ArrayList<GenerateEvent>()
        var isReadyNow = true
        var isCancelledNow = false
        var isCompleted = false
        lateinit var onReady: Runnable
        lateinit var onCancel: Runnable

        override fun onNext(value: GenerateEvent) {
            events += value
        }

        override fun onCompleted() {
            isCompleted = true
        }

        override fun onError(t: Throwable) = Unit

        override fun isReady() = isReadyNow

        override fun isCancelled() = isCancelledNow

        override fun setOnReadyHandler(onReadyHandler: Runnable) {
            onReady = onReadyHandler
        }

        override fun setOnCancelHandler(onCancelHandler: Runnable) {
            onCancel = onCancelHandler
        }

        override fun disableAutoInboundFlowControl() = Unit

        override fun request(count: Int) = Unit

        override fun setMessageCompression(enable: Boolean) = Unit

        override fun setCompression(compression: String) = Unit
    }

    private val observer = FakeObserver()
    private var cancels = 0
    private val stream = EventStream(observer) { cancels++ }

    @Test
    fun `Given a busy transport, then tokens are queued and sent in one event`() {
        observer.isReadyNow = false
        repeat(5) {
            stream.addToken(3 + it, "t$it")
            stream.flush()
        }
        assertEquals(0, observer.events.size)
        observer.isReadyNow = true
        observer.onReady.run()
        val tokens = observer.events.single().tokens
        assertEquals(3, tokens.firstIndex)
        assertEquals(listOf("t0", "t1", "t2", "t3", "t4"), tokens.textsList)
        assertEquals(5, stream.deliveredTokens)
    }

    @Test
    fun `Given 1024 pending tokens, then the next one blocks until the transport is ready`() {
        observer.isReadyNow = false
        repeat(1_024) { stream.addToken(it, "t") }
        val blocked = thread { stream.addToken(1_024, "t") }
        blocked.join(200)
        assertTrue(blocked.isAlive, "the token beyond the limit of 1024 was accepted")
        observer.isReadyNow = true
        observer.onReady.run()
        blocked.join(5_000)
        assertFalse(blocked.isAlive, "still blocked 5 s after the transport became ready")
    }

    @Test
    fun `Given a cancelled call, then tokens are refused and nothing is counted`() {
        observer.isCancelledNow = true
        observer.onCancel.run()
        assertEquals(1, cancels)
        assertFalse(stream.addToken(0, "t"))
        stream.flushAll()
        stream.end(GenerateEvent.newBuilder())
        assertEquals(0, stream.deliveredTokens)
        assertFalse(observer.isCompleted)
    }

    @Test
    fun `Given two final events, then only one is sent`() {
        repeat(2) { stream.end(GenerateEvent.newBuilder()) }
        assertEquals(1, observer.events.size)
        assertTrue(observer.isCompleted)
    }
}
