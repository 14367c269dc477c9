package org.medlarhook.entry.call

import org.medlarhook.core.call.GenerationAction
import org.medlarhook.protocol.GenerateRequest

/** Builds the messages that start attempts of generations. */
internal object GenerateRequests {
    /** Returns the message that starts the attempt of [action]. */
    fun of(info: RequestInfo, job: GenerationJob, action: GenerationAction.Send): GenerateRequest =
        GenerateRequest
            .newBuilder()
            .setAttemptId(action.attempt.attemptId)
            .setRequestId(info.requestId)
            .setWorkspace(job.workspace.name)
            .setWeight(job.workspace.weight)
            .setIncarnation(action.attempt.incarnation)
            .setModel(job.model)
            .setPrompt(job.prompt)
            .setPromptTokens(job.promptTokens)
            .setMaxOutputTokens(job.maxOutputTokens)
            .setRemainingMs(action.remainingMs)
            .setResumeFromToken(action.resumeFromToken)
            .build()
}
