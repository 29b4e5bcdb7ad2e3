package coord

// AdapterRef identifies an adapter of a base model. Adapter is empty for the base
// model itself.
type AdapterRef struct {
	Model   string
	Adapter string
}

// String returns model/adapter, or the model alone for the base model.
func (a AdapterRef) String() string {
	if a.Adapter == "" {
		return a.Model
	}
	return a.Model + "/" + a.Adapter
}

// IsBase reports whether a names a base model without an adapter.
func (a AdapterRef) IsBase() bool { return a.Adapter == "" }

// PromptPart is a part of a prompt that several requests may share. A cached part can
// be reused only together with all parts before it.
type PromptPart struct {
	ID     string
	Tokens int
}
