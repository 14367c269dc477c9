package org.medlarhook.core.serving.crash

import kotlin.random.Random

/**
 * A request of a [CrashReplay].
 *
 * @property content the same for requests that ask for the same thing.
 */
internal data class CrashCall(
    val content: String,
    val caller: String,
    val parts: List<String>,
    val isBad: Boolean,
)

/** The requests of a [CrashReplay], and the service that they are for. */
internal interface CrashWorkload {
    val engines: Int
    val soundPerS: Double
    val maxAttempts: Int

    /** Share of the answers that are lost although their engine goes on. */
    val answerLossShare: Double

    fun sound(random: Random): CrashCall

    fun bad(random: Random): CrashCall
}

/** A part crashes engines in whatever prompt. */
internal class BadPart : CrashWorkload {
    override val engines = 40
    override val soundPerS = 200.0
    override val maxAttempts = 3
    override val answerLossShare = 0.0
    private var order = 0L

    override fun sound(random: Random): CrashCall {
        val session = "session-${random.nextInt(400)}"
        return CrashCall("sound-${order++}", "caller", listOf("system", "tenant-${random.nextInt(5)}", session), false)
    }

    override fun bad(random: Random): CrashCall {
        val parts = listOf("system", "tenant-${random.nextInt(5)}", "bad", "own-${order++}")
        return CrashCall("bad-$order", "caller", parts, true)
    }
}

/** A whole prompt crashes engines; one sound request in thirty has all its parts. */
internal class DeadlyPrompt(override val answerLossShare: Double) : CrashWorkload {
    override val engines = 8
    override val soundPerS = 170.0
    override val maxAttempts = 2
    private var order = 0L

    override fun sound(random: Random): CrashCall =
        CrashCall("sound-${order++}", caller(random), listOf("system", "session-${random.nextInt(30)}"), false)

    override fun bad(random: Random): CrashCall = CrashCall("deadly", "caller-0", listOf("system", "session-0"), true)
}

/** A plain request crashes the few instances of its service; sound ones come again too, one of them very often. */
internal class DeadlyPlainRequest(override val answerLossShare: Double) : CrashWorkload {
    override val engines = 3
    override val soundPerS = 60.0
    override val maxAttempts = 2

    override fun sound(random: Random): CrashCall =
        if (random.nextInt(5) == 0) {
            CrashCall("frequent", "caller-0", emptyList(), false)
        } else {
            val caller = caller(random)
            CrashCall("sound-${random.nextInt(50)}-$caller", caller, emptyList(), false)
        }

    override fun bad(random: Random): CrashCall = CrashCall("deadly", "caller-0", emptyList(), true)
}

private fun caller(random: Random): String = "caller-${random.nextInt(8)}"
