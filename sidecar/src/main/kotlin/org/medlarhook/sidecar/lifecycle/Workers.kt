package org.medlarhook.sidecar.lifecycle

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Creates the threads of the sidecar: one worker for each slot in use, and one timer. */
internal object Workers {
    private const val IDLE_TIMEOUT_S = 10L
    private const val STACK_BYTES = 262_144L

    /** Creates a pool of at most [slots] threads; idle threads end. */
    fun pool(slots: Int): ThreadPoolExecutor =
        ThreadPoolExecutor(slots, slots, IDLE_TIMEOUT_S, TimeUnit.SECONDS, LinkedBlockingQueue()) { task ->
            Thread(null, task, "worker", STACK_BYTES).apply { isDaemon = true }
        }.apply { allowCoreThreadTimeOut(true) }

    /** Creates a single-threaded timer, whose tasks must not block. */
    fun timer(): ScheduledExecutorService =
        ScheduledThreadPoolExecutor(1) { task ->
            Thread(null, task, "timer", STACK_BYTES).apply { isDaemon = true }
        }
}
