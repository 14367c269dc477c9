package org.medlarhook.entry.operators

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.directory.AppendFailure
import org.medlarhook.core.directory.ChangeValidator
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryLog
import org.medlarhook.core.directory.DirectoryState
import org.medlarhook.core.key.KeyIssuer
import org.medlarhook.core.result.ResultCode
import org.medlarhook.entry.directory.ChangeAppender
import org.medlarhook.ports.TableFailure
import org.medlarhook.runtime.operators.api.ChangeRequest
import org.medlarhook.runtime.operators.api.KeyAnswer
import org.medlarhook.runtime.operators.api.KeyRequest
import java.util.UUID

/** Reads and changes the directory for operators. */
internal class ConfigService(
    private val log: DirectoryLog,
    private val latestDirectory: LatestDirectory,
    private val appender: ChangeAppender = ChangeAppender(log::append),
    private val keys: KeyIssuer = KeyIssuer(),
) {
    /** Returns the newest state in the tables. */
    fun state(): Either<OperatorsFailure, DirectoryState> = latestDirectory.refresh().mapLeft { it.toFailure() }

    /** Returns the newest [limit] changes. */
    fun history(limit: Int): Either<OperatorsFailure, List<DirectoryChange>> =
        log.history(limit).mapLeft { it.toFailure() }

    /** Validates [request] and appends it. [nowMs] is the wall-clock time that the history shows. */
    fun change(request: ChangeRequest, nowMs: Long): Either<OperatorsFailure, Long> =
        state().flatMap { state ->
            val change = request.toChange(nowMs)
            val errors = if (state.version ==
                request.baseVersion
            ) {
                ChangeValidator.validate(state, change)
            } else {
                emptyList()
            }
            if (errors.isNotEmpty()) {
                OperatorsFailure(ResultCode.CONFIG_INVALID, errors = errors.map { "$it" }).left()
            } else {
                append(change)
            }
        }

    /** Grants a new key. Retries if another operator changes the directory at the same time. */
    fun grantKey(request: KeyRequest, nowMs: Long): Either<OperatorsFailure, KeyAnswer> {
        val issued = keys.issue(request.workspace)
        val nonce = UUID.randomUUID().toString()
        return retryingOnConflict { state ->
            change(
                ChangeRequest(
                    baseVersion = state.version,
                    author = request.author,
                    comment = "grant key ${issued.grant.name}",
                    puts = listOf(issued.grant),
                    nonce = nonce,
                ),
                nowMs,
            )
        }.map { KeyAnswer(issued.grant.name, issued.text, it) }
    }

    /** Withdraws a key permanently, and returns a version in which it is withdrawn. */
    fun withdrawKey(keyId: String, author: String, nowMs: Long): Either<OperatorsFailure, Long> {
        val nonce = UUID.randomUUID().toString()
        return retryingOnConflict { state ->
            val grant = state.keys[keyId]
            when {
                grant == null -> OperatorsFailure(ResultCode.NOT_FOUND, "no key $keyId").left()
                grant.withdrawn -> state.version.right()
                else ->
                    change(
                        ChangeRequest(
                            baseVersion = state.version,
                            author = author,
                            comment = "withdraw key $keyId",
                            puts = listOf(grant.copy(withdrawn = true)),
                            nonce = nonce,
                        ),
                        nowMs,
                    )
            }
        }
    }

    private fun retryingOnConflict(
        attempt: (DirectoryState) -> Either<OperatorsFailure, Long>,
    ): Either<OperatorsFailure, Long> {
        var result = state().flatMap(attempt)
        repeat(MAX_CONFLICT_RETRIES) {
            val isConflict = result.leftOrNull()?.code == ResultCode.CONFIG_CONFLICT
            if (!isConflict) return result
            result = state().flatMap(attempt)
        }
        return result
    }

    private fun append(change: DirectoryChange): Either<OperatorsFailure, Long> =
        appender.append(change).mapLeft { failure ->
            when (failure) {
                is AppendFailure.Conflict ->
                    OperatorsFailure(
                        ResultCode.CONFIG_CONFLICT,
                        "the directory is at version ${failure.headVersion}",
                        changes = failure.changes,
                    )
                is AppendFailure.Unavailable -> OperatorsFailure(ResultCode.PLATFORM_UNAVAILABLE, failure.detail)
                is AppendFailure.OutcomeUnknown -> OperatorsFailure(ResultCode.PLATFORM_OUTCOME_UNKNOWN, failure.detail)
            }
        }

    private fun ChangeRequest.toChange(nowMs: Long) =
        DirectoryChange(
            version = baseVersion + 1,
            author = author,
            acceptedAtMs = nowMs,
            comment = comment,
            puts = puts,
            deletes = deletes,
            nonce = nonce,
        )

    private fun TableFailure.toFailure() = OperatorsFailure(ResultCode.PLATFORM_UNAVAILABLE, "$this")

    private companion object {
        const val MAX_CONFLICT_RETRIES = 5
    }
}
