package org.medlarhook.entry.directory

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.directory.AuthorityDecision
import org.medlarhook.core.directory.AuthorityPolicy
import org.medlarhook.core.directory.ModelDeclaration
import org.medlarhook.core.directory.ReplicaState
import org.medlarhook.core.directory.ServiceDeclaration
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.key.KeyVerifier
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/** The directory in this entry's replica. Keys are accepted only while the [AuthorityPolicy] allows it. */
internal class ReplicatedDirectory(
    private val policy: AuthorityPolicy,
    private val state: () -> ReplicaState,
) : DirectoryView {
    override val version: Long
        get() = state().directory.version

    override val isReady: Boolean
        get() = state().freshness != null

    override fun authenticate(presentedKey: String, nowMs: Long): Either<Failure, Workspace> {
        val current = state()
        return authority(current, nowMs).flatMap { workspaceOf(presentedKey, current) }
    }

    override fun model(name: String): ModelDeclaration? = state().directory.models[name]

    override fun models(): List<ModelDeclaration> = state().directory.models.values.toList()

    override fun service(name: String): ServiceDeclaration? = state().directory.services[name]

    private fun authority(current: ReplicaState, nowMs: Long): Either<Failure, Unit> =
        when (val decision = policy.decide(current, nowMs)) {
            is AuthorityDecision.Serve -> Unit.right()
            is AuthorityDecision.Refuse -> {
                val code = ResultCode.AUTHORITY_UNCERTAIN
                Failure(code, RunState.NOT_RUN, retryAfterMs = decision.retryAfterMs).left()
            }
        }

    private fun workspaceOf(presentedKey: String, current: ReplicaState): Either<Failure, Workspace> =
        KeyVerifier
            .verify(presentedKey, current.directory)
            .mapLeft { Failure(ResultCode.KEY_INVALID, RunState.NOT_RUN) }
            .map { current.directory.workspaces.getValue(it.workspace) }
}
