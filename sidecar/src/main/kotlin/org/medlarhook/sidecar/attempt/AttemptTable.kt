package org.medlarhook.sidecar.attempt

import org.medlarhook.protocol.AttemptState
import org.medlarhook.protocol.SealAnswer
import org.medlarhook.protocol.ServiceAnswer

/** Remembers the attempts of this incarnation. A sealed attempt never starts; a started one never starts again. */
internal class AttemptTable {
    private val lock = Any()
    private val states = HashMap<String, AttemptState>()
    private val answers = HashMap<String, ServiceAnswer>()

    /** Marks the attempt as running; false if it was sealed or received before. */
    fun start(attemptId: String): Boolean =
        synchronized(lock) { states.putIfAbsent(attemptId, AttemptState.RUNNING) == null }

    /** Marks the attempt as finished and keeps its answer, if any. */
    fun finish(attemptId: String, answer: ServiceAnswer? = null) {
        synchronized(lock) {
            states[attemptId] = AttemptState.FINISHED
            if (answer != null) answers[attemptId] = answer
        }
    }

    /** Seals the attempt unless it has started, and tells its state. */
    fun seal(attemptId: String): SealAnswer =
        synchronized(lock) {
            val state = states.getOrPut(attemptId) { AttemptState.SEALED }
            val answer = SealAnswer.newBuilder().setState(state)
            answers[attemptId]?.let { answer.setAnswer(it) }
            answer.build()
        }
}
