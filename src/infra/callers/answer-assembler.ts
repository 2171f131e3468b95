/**
 * Assembles the chunks of an OpenAI-compatible stream into one complete answer.
 * @module
 */

interface ToolCall {
	index: number;
	id?: string;
	type?: string;
	function: { name: string; arguments: string };
}

interface Delta {
	role?: string;
	content?: string | null;
	refusal?: string | null;
	tool_calls?: (Partial<ToolCall> & { index: number })[];
}

interface ChunkChoice {
	index: number;
	delta?: Delta;
	text?: string;
	finish_reason?: string | null;
}

interface Chunk {
	id?: string;
	created?: number;
	model?: string;
	choices?: ChunkChoice[];
	usage?: unknown;
}

interface Choice {
	content: string;
	refusal?: string;
	toolCalls: ToolCall[];
	finishReason: string | null;
}

export class AnswerAssembler {
	private id = '';
	private created = 0;
	private model = '';
	private usage?: unknown;
	private readonly choices = new Map<number, Choice>();
	/** Length of the text and tool-call arguments so far, in UTF-16 code units. */
	textLength = 0;

	constructor(private readonly isChat: boolean) {}

	/** Merges the data of one server-sent event; throws when it is not valid JSON. */
	addChunk(data: string): void {
		const chunk = JSON.parse(data) as Chunk;
		this.id ||= chunk.id ?? '';
		this.created ||= chunk.created ?? 0;
		this.model ||= chunk.model ?? '';
		this.usage = chunk.usage ?? this.usage;
		for (const chunkChoice of chunk.choices ?? []) {
			this.mergeChoice(chunkChoice);
		}
	}

	/** The complete response body. */
	toJson(): string {
		const choices = [...this.choices.entries()].sort((a, b) => a[0] - b[0]);
		return JSON.stringify({
			id: this.id,
			object: this.isChat ? 'chat.completion' : 'text_completion',
			created: this.created,
			model: this.model,
			choices: choices.map(([index, choice]) => this.formatChoice(index, choice)),
			usage: this.usage,
		});
	}

	private mergeChoice(chunkChoice: ChunkChoice): void {
		let choice = this.choices.get(chunkChoice.index);
		if (!choice) {
			choice = { content: '', toolCalls: [], finishReason: null };
			this.choices.set(chunkChoice.index, choice);
		}
		const text = chunkChoice.text ?? chunkChoice.delta?.content ?? '';
		choice.content += text;
		this.textLength += text.length;
		if (chunkChoice.delta?.refusal) {
			choice.refusal = (choice.refusal ?? '') + chunkChoice.delta.refusal;
		}
		for (const toolCall of chunkChoice.delta?.tool_calls ?? []) {
			this.mergeToolCall(choice, toolCall);
		}
		choice.finishReason = chunkChoice.finish_reason ?? choice.finishReason;
	}

	private mergeToolCall(choice: Choice, delta: Partial<ToolCall> & { index: number }): void {
		let call = choice.toolCalls.find((candidate) => candidate.index === delta.index);
		if (!call) {
			call = { index: delta.index, function: { name: '', arguments: '' } };
			choice.toolCalls.push(call);
		}
		call.id ??= delta.id;
		call.type ??= delta.type;
		call.function.name += delta.function?.name ?? '';
		call.function.arguments += delta.function?.arguments ?? '';
		this.textLength += delta.function?.arguments?.length ?? 0;
	}

	private formatChoice(index: number, choice: Choice): object {
		const commonFields = { index, logprobs: null, finish_reason: choice.finishReason };
		if (!this.isChat) {
			return { text: choice.content, ...commonFields };
		}
		const calls = choice.toolCalls.map(({ id, type, function: fn }) => ({
			id,
			type,
			function: fn,
		}));
		const message = {
			role: 'assistant',
			content: choice.content,
			refusal: choice.refusal ?? null,
			...(calls.length > 0 ? { tool_calls: calls } : {}),
		};
		return { message, ...commonFields };
	}
}
