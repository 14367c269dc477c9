package org.medlarhook.entry.claim

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.claim.Claim
import org.medlarhook.core.claim.ClaimRow
import org.medlarhook.ports.ObjectStore
import org.medlarhook.ports.Row
import org.medlarhook.ports.TableFailure
import java.util.Base64

/** Encodes claims as row values and decodes them. Bodies over [maxInlineBodyBytes] are stored in [objects]. */
internal class ClaimCodec(
    private val objects: ObjectStore,
    private val maxInlineBodyBytes: Int,
) {
    /** Returns the row value of [claim]. The body of a large answer is stored as an object first. */
    fun encode(claim: Claim, nowWallMs: Long): Either<TableFailure, String> =
        encodeAnswer(claim).map { answer ->
            val record =
                ClaimRecord(
                    digestHex = claim.digestHex,
                    attemptId = claim.attempt.attemptId,
                    upstreamId = claim.attempt.upstreamId,
                    address = claim.attempt.address,
                    incarnation = claim.attempt.incarnation,
                    state = claim.state,
                    writtenAtMs = nowWallMs,
                    answer = answer,
                )
            JSON.encodeToString(ClaimRecord.serializer(), record)
        }

    /** Returns the claim in [row], with the body of its answer. */
    fun decode(row: Row): Either<TableFailure, ClaimRow> {
        val record = record(row)
        val attempt = AttemptRef(record.attemptId, record.upstreamId, record.address, record.incarnation)
        return decodeAnswer(record.answer).map { answer ->
            ClaimRow(Claim(record.digestHex, attempt, record.state, answer), row.version)
        }
    }

    /** Returns the record in [row], without the body of an answer that is stored as an object. */
    fun record(row: Row): ClaimRecord = JSON.decodeFromString(ClaimRecord.serializer(), row.value)

    private fun encodeAnswer(claim: Claim): Either<TableFailure, AnswerRecord?> {
        val answer = claim.answer ?: return null.right()
        val record = AnswerRecord(answer.status, answer.headers)
        if (answer.body.size <= maxInlineBodyBytes) {
            return record.copy(bodyBase64 = Base64.getEncoder().encodeToString(answer.body)).right()
        }
        val name = "claim-answer-${claim.attempt.attemptId}"
        return objects.put(name, answer.body).map { record.copy(objectName = name) }
    }

    private fun decodeAnswer(record: AnswerRecord?): Either<TableFailure, CallAnswer?> {
        if (record == null) return null.right()
        return body(record).map { CallAnswer(record.status, record.headers, it) }
    }

    private fun body(record: AnswerRecord): Either<TableFailure, ByteArray> {
        val name = record.objectName ?: return Base64.getDecoder().decode(record.bodyBase64.orEmpty()).right()
        return objects.get(name).flatMap {
            it?.right()
                ?: TableFailure.Unavailable("object $name with the body of a recorded answer does not exist").left()
        }
    }

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
