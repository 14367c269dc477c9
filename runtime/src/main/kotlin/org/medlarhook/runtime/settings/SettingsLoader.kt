package org.medlarhook.runtime.settings

import arrow.core.Either
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Reads settings from one base file and overlays, merged in order as JSON merge patches. Unknown names are errors. */
public object SettingsLoader {
    private val JSON = Json { ignoreUnknownKeys = false }

    /** Reads and merges [files]; the error names what is wrong. */
    public fun <T> load(files: List<Path>, serializer: KSerializer<T>): Either<SettingsError, T> =
        Either
            .catch {
                val merged = files.map { JSON.parseToJsonElement(it.readText()) }.reduce(::mergePatch)
                JSON.decodeFromJsonElement(serializer, merged)
            }.mapLeft { cause ->
                when (cause) {
                    is IOException -> SettingsError("can't read ${cause.message}")
                    is SerializationException -> SettingsError(cause.message.orEmpty())
                    else -> throw cause
                }
            }

    /** Applies [patch] to [target] by the rules of JSON merge patch: null removes, objects merge, the rest replaces. */
    public fun mergePatch(target: JsonElement, patch: JsonElement): JsonElement {
        if (patch !is JsonObject) return patch
        val merged = (target as? JsonObject).orEmpty().toMutableMap()
        patch.forEach { (name, value) ->
            if (value is JsonNull) {
                merged.remove(name)
            } else {
                merged[name] = mergePatch(merged[name] ?: JsonNull, value)
            }
        }
        return JsonObject(merged)
    }
}
