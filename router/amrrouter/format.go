package amrrouter

import (
	"strconv"

	"amaranthreach.example/core/amrgate"
)

// format shapes an answer for a route: a chatFormat, completionFormat or
// serviceFormat.
type format interface {
	contentType(end *amrgate.End) string
	whole(q *request, text string, end *amrgate.End) []byte
	chunk(q *request, text string) []byte
	end(q *request, end *amrgate.End) []byte
}

type usageFields struct {
	PromptTokens        uint32              `json:"prompt_tokens"`
	CompletionTokens    uint32              `json:"completion_tokens"`
	TotalTokens         uint32              `json:"total_tokens"`
	PromptTokensDetails promptTokensDetails `json:"prompt_tokens_details"`
}

type promptTokensDetails struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

func usageOf(end *amrgate.End) *usageFields {
	return &usageFields{
		PromptTokens:        end.GetPromptTokens(),
		CompletionTokens:    end.GetCompletionTokens(),
		TotalTokens:         end.GetPromptTokens() + end.GetCompletionTokens(),
		PromptTokensDetails: promptTokensDetails{CachedTokens: end.GetCachedTokens()},
	}
}

// endFields let a caller check that a streamed answer is complete.
type endFields struct {
	Chunks uint64 `json:"chunks"`
	Digest string `json:"digest"` // XXH3 of the text, in hex.
}

func endOf(end *amrgate.End) *endFields {
	return &endFields{Chunks: end.GetChunks(), Digest: strconv.FormatUint(end.GetDigest(), 16)}
}

type chatFormat struct{}

type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *usageFields `json:"usage,omitempty"`
	End     *endFields   `json:"end,omitempty"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

func (chatFormat) contentType(*amrgate.End) string { return contentTypeJSON }

func (chatFormat) whole(q *request, text string, end *amrgate.End) []byte {
	reason := end.GetFinishReason()
	return marshal(chatAnswer{
		ID:      q.id,
		Object:  "chat.completion",
		Model:   q.deployment,
		Choices: []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &reason}},
		Usage:   usageOf(end),
	})
}

func (chatFormat) chunk(q *request, text string) []byte {
	return marshal(chatAnswer{
		ID:      q.id,
		Object:  "chat.completion.chunk",
		Model:   q.deployment,
		Choices: []chatChoice{{Delta: &chatMessage{Content: text}}},
	})
}

func (chatFormat) end(q *request, end *amrgate.End) []byte {
	reason := end.GetFinishReason()
	return marshal(chatAnswer{
		ID:      q.id,
		Object:  "chat.completion.chunk",
		Model:   q.deployment,
		Choices: []chatChoice{{Delta: &chatMessage{}, FinishReason: &reason}},
		Usage:   usageOf(end),
		End:     endOf(end),
	})
}

type completionFormat struct{}

type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usageFields       `json:"usage,omitempty"`
	End     *endFields         `json:"end,omitempty"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

func (completionFormat) contentType(*amrgate.End) string { return contentTypeJSON }

func (completionFormat) whole(q *request, text string, end *amrgate.End) []byte {
	reason := end.GetFinishReason()
	return completionOf(q, completionChoice{Text: text, FinishReason: &reason}, end, nil)
}

func (completionFormat) chunk(q *request, text string) []byte {
	return completionOf(q, completionChoice{Text: text}, nil, nil)
}

func (completionFormat) end(q *request, end *amrgate.End) []byte {
	reason := end.GetFinishReason()
	return completionOf(q, completionChoice{FinishReason: &reason}, end, endOf(end))
}

func completionOf(q *request, choice completionChoice, end *amrgate.End, fields *endFields) []byte {
	answer := completionAnswer{
		ID:      q.id,
		Object:  "text_completion",
		Model:   q.deployment,
		Choices: []completionChoice{choice},
		End:     fields,
	}
	if end != nil {
		answer.Usage = usageOf(end)
	}
	return marshal(answer)
}

// serviceFormat passes the answer of a plain service on as it is.
type serviceFormat struct{}

func (serviceFormat) contentType(end *amrgate.End) string {
	if end.GetContentType() == "" {
		return contentTypeJSON
	}
	return end.GetContentType()
}

func (serviceFormat) whole(_ *request, text string, _ *amrgate.End) []byte { return []byte(text) }
func (serviceFormat) chunk(_ *request, text string) []byte                 { return []byte(text) }
func (serviceFormat) end(*request, *amrgate.End) []byte                    { return nil }
