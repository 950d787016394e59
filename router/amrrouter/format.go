package amrrouter

import (
	"strconv"

	"amaranthreach.example/core/amrgate"
)

// responseFormat encodes the response of a route. It is a chatFormat, a
// completionFormat or a serviceFormat.
type responseFormat interface {
	// contentType returns the content type of a response that is not streamed.
	contentType(end *amrgate.End) string

	// fullBody returns the body of a response that is not streamed.
	fullBody(q *request, text string, end *amrgate.End) []byte

	// chunk returns the event data for a part of a streamed response.
	chunk(q *request, text string) []byte

	// end returns the event data that completes a streamed response.
	end(q *request, end *amrgate.End) []byte
}

// usageFields holds the token counts of a response.
type usageFields struct {
	PromptTokens        uint32              `json:"prompt_tokens"`
	CompletionTokens    uint32              `json:"completion_tokens"`
	TotalTokens         uint32              `json:"total_tokens"`
	PromptTokensDetails promptTokensDetails `json:"prompt_tokens_details"`
}

// promptTokensDetails holds the details of the prompt tokens of usageFields.
type promptTokensDetails struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

// newUsageFields returns the token counts of the end message.
func newUsageFields(end *amrgate.End) *usageFields {
	return &usageFields{
		PromptTokens:        end.GetPromptTokens(),
		CompletionTokens:    end.GetCompletionTokens(),
		TotalTokens:         end.GetPromptTokens() + end.GetCompletionTokens(),
		PromptTokensDetails: promptTokensDetails{CachedTokens: end.GetCachedTokens()},
	}
}

// endFields holds a summary of a streamed response by which the caller can check
// that it has received the complete text.
type endFields struct {
	Chunks uint64 `json:"chunks"`
	Digest string `json:"digest"` // Hexadecimal XXH3 hash of the text.
}

// newEndFields returns the summary in the end message.
func newEndFields(end *amrgate.End) *endFields {
	return &endFields{Chunks: end.GetChunks(), Digest: strconv.FormatUint(end.GetDigest(), 16)}
}

// chatFormat encodes the responses of the chat completions endpoint.
type chatFormat struct{}

// chatAnswer is a response of the chat completions endpoint or an event of one.
type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *usageFields `json:"usage,omitempty"`
	End     *endFields   `json:"end,omitempty"`
}

// chatChoice is the only choice in a chatAnswer. Message is set in a response that
// is not streamed, and Delta in an event.
type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// chatMessage is a chat message or a part of one.
type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

func (chatFormat) contentType(*amrgate.End) string { return contentTypeJSON }

func (chatFormat) fullBody(q *request, text string, end *amrgate.End) []byte {
	reason := end.GetFinishReason()
	return mustMarshal(chatAnswer{
		ID:      q.id,
		Object:  "chat.completion",
		Model:   q.deployment,
		Choices: []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &reason}},
		Usage:   newUsageFields(end),
	})
}

func (chatFormat) chunk(q *request, text string) []byte {
	return mustMarshal(chatAnswer{
		ID:      q.id,
		Object:  "chat.completion.chunk",
		Model:   q.deployment,
		Choices: []chatChoice{{Delta: &chatMessage{Content: text}}},
	})
}

func (chatFormat) end(q *request, end *amrgate.End) []byte {
	reason := end.GetFinishReason()
	return mustMarshal(chatAnswer{
		ID:      q.id,
		Object:  "chat.completion.chunk",
		Model:   q.deployment,
		Choices: []chatChoice{{Delta: &chatMessage{}, FinishReason: &reason}},
		Usage:   newUsageFields(end),
		End:     newEndFields(end),
	})
}

// completionFormat encodes the responses of the completions endpoint.
type completionFormat struct{}

// completionAnswer is a response of the completions endpoint or an event of one.
type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usageFields       `json:"usage,omitempty"`
	End     *endFields         `json:"end,omitempty"`
}

// completionChoice is the only choice in a completionAnswer.
type completionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

func (completionFormat) contentType(*amrgate.End) string { return contentTypeJSON }

func (completionFormat) fullBody(q *request, text string, end *amrgate.End) []byte {
	reason := end.GetFinishReason()
	return marshalCompletion(q, completionChoice{Text: text, FinishReason: &reason}, end, nil)
}

func (completionFormat) chunk(q *request, text string) []byte {
	return marshalCompletion(q, completionChoice{Text: text}, nil, nil)
}

func (completionFormat) end(q *request, end *amrgate.End) []byte {
	reason := end.GetFinishReason()
	return marshalCompletion(q, completionChoice{FinishReason: &reason}, end, newEndFields(end))
}

// marshalCompletion returns a completionAnswer as JSON. It has token counts if end
// is not nil.
func marshalCompletion(q *request, choice completionChoice, end *amrgate.End, fields *endFields) []byte {
	answer := completionAnswer{
		ID:      q.id,
		Object:  "text_completion",
		Model:   q.deployment,
		Choices: []completionChoice{choice},
		End:     fields,
	}
	if end != nil {
		answer.Usage = newUsageFields(end)
	}
	return mustMarshal(answer)
}

// serviceFormat returns the response of a plain service unchanged.
type serviceFormat struct{}

func (serviceFormat) contentType(end *amrgate.End) string {
	if end.GetContentType() == "" {
		return contentTypeJSON
	}
	return end.GetContentType()
}

func (serviceFormat) fullBody(_ *request, text string, _ *amrgate.End) []byte { return []byte(text) }
func (serviceFormat) chunk(_ *request, text string) []byte                    { return []byte(text) }
func (serviceFormat) end(*request, *amrgate.End) []byte                       { return nil }
